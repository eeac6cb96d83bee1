//! Ends the process after an error that it can't continue from.

use std::process;
use std::thread;
use std::time::Duration;

/// Exit code after such an error (`EX_SOFTWARE` of sysexits.h).
pub const FATAL_EXIT_CODE: i32 = 70;
/// Time for reporting the error. The process exits after it even if the log is blocked, or if a
/// backtrace takes longer, which may be half a minute with the debug information of a large program.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Logs that the process exits after `event`, and why, if there is more to say. Calls
/// `report_details`, and exits.
pub fn exit_after(event: &str, reason: Option<&str>, report_details: impl FnOnce()) -> ! {
    // If no thread can be started, the error is reported without a limit of the time.
    let _ = thread::Builder::new().spawn(|| {
        thread::sleep(REPORT_TIMEOUT);
        process::exit(FATAL_EXIT_CODE);
    });
    let reason = reason.map(|reason| format!(": {reason}"));
    log::error!(
        target: "shalehinge",
        "{event}, exiting with code {FATAL_EXIT_CODE}{}",
        reason.unwrap_or_default()
    );
    log::logger().flush();
    report_details();
    process::exit(FATAL_EXIT_CODE)
}
