#!/bin/bash
# Runs the case; claim.txt tells what is checked. TROUBLE=0 leaves out the disruption.
exec "$(dirname "$0")/../run-case.sh" endless-interim "$(cd "$(dirname "$0")" && pwd)/record.txt"
