//! The operators' command line.

use std::process::ExitCode;

use laburnumstall::{Shell, run};

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args_os()
        .skip(1)
        .map(|argument| argument.to_string_lossy().into_owned())
        .collect();
    let environment = |name: &str| std::env::var(name).ok();
    let exit = actix_rt::System::new().block_on(run(&arguments, environment, &Shell::process()));
    ExitCode::from(exit.code())
}
