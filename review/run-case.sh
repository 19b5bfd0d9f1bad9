#!/bin/bash
# run-case.sh CASE RECORD: plays a case against the daemon that the deploy file builds.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
daemon=target/release/laburnumstalld
standins=target/review/release/review-standins
for program in "$daemon" "$standins"; do
    if [ ! -x "$program" ]; then
        echo "$program is missing; build it first" >&2
        exit 2
    fi
done
folder=$(mktemp -d) || exit 2
finish() {
    # Daemons that are left, by the ids that were recorded at their start.
    for pid in $(cat "$folder/pids" 2>/dev/null); do
        if grep -qsa laburnumstalld "/proc/$pid/cmdline"; then
            kill -9 "$pid" 2>/dev/null
        fi
    done
    rm -rf "$folder"
}
trap finish EXIT
timeout -k 1 118 "$standins" "$1" "$2" "$folder"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
