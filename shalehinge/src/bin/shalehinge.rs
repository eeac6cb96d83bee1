//! The operators' command-line client.

use std::process;

use shalehinge::cli::arguments::Arguments;
use shalehinge::cli::{ExitCode, run};

fn main() {
    let arguments: Arguments = argh::from_env();
    let result = smol::block_on(run(arguments));
    if result.code == ExitCode::Done {
        print!("{}", result.text);
    } else {
        eprint!("{}", result.text);
    }
    if !result.text.ends_with('\n') {
        println!();
    }
    process::exit(result.code as i32);
}
