//! Settings of the memory allocator.

/// Size from which an allocation is a mapping of its own, in bytes: the C library's initial value.
#[cfg(all(target_os = "linux", target_env = "gnu"))]
const MAPPED_FROM: libc::c_int = 128 * 1024;

/// Makes the memory of large allocations leave the process when they are freed. By default the C
/// library raises the size from which an allocation is a mapping of its own to the largest one that
/// was freed, up to 32 MiB; bodies are then taken from the heap, which keeps freed ones below others
/// that are still in use.
pub fn return_large_allocations() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    {
        // SAFETY: `mallopt` takes two integers, is safe to call from any thread, and accesses no
        // memory of the caller.
        let is_set = unsafe { libc::mallopt(libc::M_MMAP_THRESHOLD, MAPPED_FROM) };
        if is_set != 1 {
            log::warn!("daemon: can't set the allocator's size of mappings");
        }
    }
}
