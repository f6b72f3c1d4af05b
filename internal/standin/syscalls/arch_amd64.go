package syscalls

import "golang.org/x/sys/unix"

// auditArch is the architecture of which the filter traps calls.
const auditArch = unix.AUDIT_ARCH_X86_64
