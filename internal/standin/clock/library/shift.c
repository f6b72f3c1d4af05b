/* Steps the wall clock of one process. Loaded into the process with LD_PRELOAD, this library
 * redirects clock_gettime in that process's own vDSO to a replacement that adds an offset to
 * readings of the wall clock. The offset in nanoseconds is read from the file named by
 * LICHENSHELF_TEST_CLOCK. The monotonic clock is not changed. */
#define _GNU_SOURCE
#include <elf.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/auxv.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

static volatile int64_t *offset_ns;

/* Reads a clock by a system call, and not by the redirected function. */
static long raw_clock_gettime(long clock, struct timespec *out) { return syscall(SYS_clock_gettime, clock, out); }

static int shifted_clock_gettime(clockid_t clock, struct timespec *out) {
	long result = raw_clock_gettime(clock, out);
	if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
		int64_t now_ns = (int64_t)out->tv_sec * 1000000000 + out->tv_nsec + *offset_ns;
		out->tv_sec = now_ns / 1000000000;
		out->tv_nsec = now_ns % 1000000000;
	}
	return (int)result;
}

/* Returns the address of a function of the vDSO, or NULL. */
static unsigned char *vdso_symbol(const char *name) {
	unsigned char *base = (unsigned char *)getauxval(AT_SYSINFO_EHDR);
	if (!base) return NULL;
	Elf64_Ehdr *header = (Elf64_Ehdr *)base;
	Elf64_Phdr *segment = (Elf64_Phdr *)(base + header->e_phoff);
	Elf64_Dyn *dynamic = NULL;
	uintptr_t load = (uintptr_t)base;
	for (int i = 0; i < header->e_phnum; i++) {
		if (segment[i].p_type == PT_LOAD) load = (uintptr_t)base + segment[i].p_offset - segment[i].p_vaddr;
		if (segment[i].p_type == PT_DYNAMIC) dynamic = (Elf64_Dyn *)(base + segment[i].p_offset);
	}
	if (!dynamic) return NULL;
	Elf64_Sym *symbols = NULL;
	const char *names = NULL;
	for (Elf64_Dyn *d = dynamic; d->d_tag != DT_NULL; d++) {
		if (d->d_tag == DT_SYMTAB) symbols = (Elf64_Sym *)(load + d->d_un.d_ptr);
		if (d->d_tag == DT_STRTAB) names = (const char *)(load + d->d_un.d_ptr);
	}
	if (!symbols || !names) return NULL;
	/* The string table follows the symbol table, so that its start ends the loop. */
	for (Elf64_Sym *s = symbols; (const char *)s < names; s++)
		if (strcmp(names + s->st_name, name) == 0) return (unsigned char *)(load + s->st_value);
	return NULL;
}

#if defined(__x86_64__)

#define CLOCK_SYMBOL "__vdso_clock_gettime"
#define JUMP_SIZE 12

/* Writes a jump to the address: movabs $to, %rax; jmp *%rax. */
static void encode_jump(unsigned char *jump, void *to) {
	memcpy(jump, "\x48\xb8", 2);
	memcpy(jump + 2, &to, 8);
	memcpy(jump + 10, "\xff\xe0", 2);
}

/* Returns where the jump may stand in a function. */
static unsigned char *entry(unsigned char *function) { return function; }

#elif defined(__aarch64__)

#define CLOCK_SYMBOL "__kernel_clock_gettime"
#define JUMP_SIZE 16

/* Writes a jump to the address: ldr x16, 8 bytes ahead; br x16; the address. */
static void encode_jump(unsigned char *jump, void *to) {
	const uint32_t code[2] = {0x58000050, 0xd61f0200};
	memcpy(jump, code, 8);
	memcpy(jump + 8, &to, 8);
}

/* Returns where the jump may stand in a function: a "bti c" at its start marks it as the target of
 * indirect calls and has to stay. */
static unsigned char *entry(unsigned char *function) {
	uint32_t first;
	memcpy(&first, function, sizeof first);
	return first == 0xd503245f ? function + sizeof first : function;
}

#else
#error "shift.c: no jump is known for this architecture"
#endif

/* Overwrites the start of a function with a jump to another function. Where the pages of the vDSO
 * can't be made writable, it writes through /proc/self/mem. Returns 0 on failure. */
static int redirect(unsigned char *function, void *to) {
	unsigned char jump[JUMP_SIZE];
	encode_jump(jump, to);
	unsigned char *from = entry(function);
	uintptr_t page = (uintptr_t)from & ~(uintptr_t)4095;
	if (mprotect((void *)page, 8192, PROT_READ | PROT_WRITE | PROT_EXEC) == 0 ||
	    mprotect((void *)page, 4096, PROT_READ | PROT_WRITE | PROT_EXEC) == 0) {
		memcpy(from, jump, sizeof jump);
		__builtin___clear_cache((char *)from, (char *)from + sizeof jump);
		return 1;
	}
	int memory = open("/proc/self/mem", O_RDWR | O_CLOEXEC);
	if (memory < 0) return 0;
	ssize_t n = pwrite(memory, jump, sizeof jump, (off_t)(uintptr_t)from);
	close(memory);
	return n == (ssize_t)sizeof jump;
}

__attribute__((constructor)) static void install(void) {
	const char *path = getenv("LICHENSHELF_TEST_CLOCK");
	if (!path) return;
	int file = open(path, O_RDONLY | O_CLOEXEC);
	if (file < 0) _exit(120);
	offset_ns = mmap(NULL, 4096, PROT_READ, MAP_SHARED, file, 0);
	close(file);
	if (offset_ns == MAP_FAILED) _exit(121);
	struct timespec now;
	raw_clock_gettime(CLOCK_MONOTONIC, &now); /* binds the symbol of the C library before any thread calls it */
	unsigned char *clock = vdso_symbol(CLOCK_SYMBOL);
	if (!clock || !redirect(clock, shifted_clock_gettime)) _exit(122);
}
