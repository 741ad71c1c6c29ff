#include <link.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <string.h>
#include <time.h>
#include <ucontext.h>
#include <unistd.h>

#include "skr/crash.h"
#include "skr/log.h"

enum
{
  MAX_FRAMES = 24,
  BUILD_ID_BYTES = 20,
  LINE_SIZE = 2048, /* bytes; less than a pipe accepts at once */
  NANOSECONDS_PER_MS = 1000000,
  MS_PER_S = 1000
};

static const int signals[]
    = { SIGSEGV, SIGBUS, SIGFPE, SIGILL, SIGABRT, SIGTRAP };

/* Where the program is loaded, and its code.  */
struct image
{
  uintptr_t base, code_begin, code_end;
  char build_id[2 * BUILD_ID_BYTES + 1];
};

/* What a thread works on.  */
struct subject
{
  const char *id; /* NULL: nothing */
  int has_task, occurrence, step, task;
};

static const char *program = "skr";
static int output, is_json;
static struct image image;
static atomic_llong term;
static cr_report_fn *_Atomic report;
static atomic_int is_reported;
static _Thread_local struct subject subject;
static _Thread_local uintptr_t stack_end; /* 0: unknown */

struct line
{
  char text[LINE_SIZE];
  size_t length;
};

static void
add_text (struct line *l, const char *text)
{
  while (*text && l->length < LINE_SIZE - 1)
    l->text[l->length++] = *text++;
}

static void
add_digits (struct line *l, uint64_t number, unsigned base)
{
  char digits[24];
  int n = sizeof digits - 1;

  digits[n] = '\0';
  do
    digits[--n] = "0123456789abcdef"[number % base];
  while (number /= base);
  add_text (l, digits + n);
}

static void
add_name (struct line *l, const char *name)
{
  add_text (l, is_json ? ",\"" : " ");
  add_text (l, name);
  add_text (l, is_json ? "\":" : "=");
}

static void
add_int (struct line *l, const char *name, int64_t number)
{
  add_name (l, name);
  if (number < 0)
    add_text (l, "-");
  add_digits (l, number < 0 ? -(uint64_t)number : (uint64_t)number, 10);
}

/* TEXT needs no escapes: it is a name, a number or an id.  */
static void
add_string (struct line *l, const char *name, const char *text)
{
  add_name (l, name);
  add_text (l, "\"");
  add_text (l, text);
  add_text (l, "\"");
}

/* An address of the program as an offset that addr2line takes; one outside of
   its code as "library".  */
static void
add_code_address (struct line *l, uintptr_t address)
{
  if (address < image.code_begin || address >= image.code_end)
    {
      add_text (l, "library");
      return;
    }
  add_text (l, "0x");
  add_digits (l, address - image.base, 16);
}

/* Registers at the time of the signal.  */
struct registers
{
  uintptr_t pc, stack, frame;
};

static struct registers
read_registers (const ucontext_t *context)
{
  const mcontext_t *m = &context->uc_mcontext;

#if defined(__x86_64__)
  return (struct registers){ (uintptr_t)m->gregs[REG_RIP],
                             (uintptr_t)m->gregs[REG_RSP],
                             (uintptr_t)m->gregs[REG_RBP] };
#elif defined(__aarch64__)
  return (struct registers){ m->pc, m->sp, m->regs[29] };
#else
  (void)m;
  return (struct registers){ 0, 0, 0 };
#endif
}

/* A frame as the compiler lays it out where it keeps frame pointers.  */
struct frame
{
  uintptr_t caller, return_address;
};

/* Whether a frame may stand at ADDRESS, above LOWEST on this thread's
   stack.  */
static int
is_frame (uintptr_t address, uintptr_t lowest)
{
  return address >= lowest && address % sizeof (uintptr_t) == 0
         && address + sizeof (struct frame) <= stack_end;
}

/* Whether a frame of the program stands at ADDRESS.  */
static int
is_program_frame (uintptr_t address, uintptr_t lowest)
{
  const struct frame *f = (const struct frame *)address;

  return is_frame (address, lowest) && f->return_address >= image.code_begin
         && f->return_address < image.code_end
         && is_frame (f->caller, address + 1);
}

/* The first frame of the program.  Libraries may be built without frame
   pointers, so if the register does not point to one, the stack is searched
   from its top.  */
static uintptr_t
first_frame (const struct registers *r)
{
  uintptr_t address = r->stack & ~(sizeof (uintptr_t) - 1);

  if (is_program_frame (r->frame, r->stack))
    return r->frame;
  while (is_frame (address, r->stack) && !is_program_frame (address, r->stack))
    address += sizeof (uintptr_t);
  return address;
}

/* Adds the instruction that raised the signal and the calls that lead to
   it.  */
static void
add_frames (struct line *l, const struct registers *r)
{
  uintptr_t address = first_frame (r), lowest = r->stack;

  add_name (l, "frames");
  add_text (l, "\"");
  add_code_address (l, r->pc);
  for (int i = 0; i < MAX_FRAMES && is_frame (address, lowest); i++)
    {
      const struct frame *f = (const struct frame *)address;

      if (!f->return_address)
        break;
      add_text (l, " ");
      add_code_address (l, f->return_address - 1);
      lowest = address + 1;
      address = f->caller;
    }
  add_text (l, "\"");
}

static void
add_subject (struct line *l, const char *id)
{
  const struct subject *s = &subject;

  if (!*id)
    return;
  add_string (l, "id", id);
  if (!s->has_task)
    return;
  add_int (l, "occurrence", s->occurrence);
  add_int (l, "step", s->step);
  add_int (l, "task", s->task);
}

static void
copy_id (char out[CR_ID_SIZE])
{
  int n = 0;

  for (; subject.id && subject.id[n] && n < CR_ID_SIZE - 1; n++)
    out[n] = subject.id[n];
  out[n] = '\0';
}

static void
add_head (struct line *l)
{
  struct timespec now;
  uint64_t at_ms;

  clock_gettime (CLOCK_REALTIME, &now);
  at_ms = (uint64_t)now.tv_sec * MS_PER_S
          + (uint64_t)now.tv_nsec / NANOSECONDS_PER_MS;
  add_text (l, is_json ? "{\"at\":" : "");
  add_digits (l, at_ms, 10);
  add_text (l, is_json ? ",\"program\":\"" : " ");
  add_text (l, program);
  add_text (l, is_json ? "\",\"event\":" : " ");
  add_digits (l, LG_CRASHED, 10);
  add_text (l, is_json ? ",\"name\":\"crashed\"" : " crashed");
}

static void
write_line (const struct line *l)
{
  struct pollfd out = { .fd = output, .events = POLLOUT };

  if (poll (&out, 1, 0) == 1 && (out.revents & POLLOUT)
      && write (output, l->text, l->length) < 0)
    return;
}

static void
on_crash (int sig, siginfo_t *info, void *context)
{
  static struct line line;
  struct registers r = read_registers (context);
  cr_report_fn *fn = atomic_load (&report);
  char id[CR_ID_SIZE];

  /* Other threads may crash meanwhile; one line is written.  */
  if (!atomic_exchange (&is_reported, 1))
    {
      copy_id (id);
      add_head (&line);
      add_int (&line, "signal", sig);
      add_name (&line, "address");
      add_text (&line, "\"0x");
      add_digits (&line, sig == SIGABRT ? 0 : (uintptr_t)info->si_addr, 16);
      add_text (&line, "\"");
      add_string (&line, "build", image.build_id);
      add_int (&line, "term", atomic_load (&term));
      add_subject (&line, id);
      add_frames (&line, &r);
      add_text (&line, is_json ? "}\n" : "\n");
      write_line (&line);
      if (fn)
        fn (id);
    }
  /* The handler was reset, so this ends the process as soon as it returns.  */
  raise (sig);
}

static void
read_build_id (const char *note, const char *end)
{
  while (note + sizeof (ElfW (Nhdr)) < end)
    {
      const ElfW (Nhdr) *head = (const ElfW (Nhdr) *)note;
      const char *name = note + sizeof *head;
      const unsigned char *id
          = (const unsigned char *)name + ((head->n_namesz + 3) & ~3U);

      if (head->n_type == NT_GNU_BUILD_ID
          && head->n_namesz == sizeof ELF_NOTE_GNU
          && !memcmp (name, ELF_NOTE_GNU, sizeof ELF_NOTE_GNU)
          && head->n_descsz <= BUILD_ID_BYTES)
        {
          struct line hex = { .length = 0 };

          for (unsigned i = 0; i < head->n_descsz; i++)
            {
              add_digits (&hex, id[i] / 16, 16);
              add_digits (&hex, id[i] % 16, 16);
            }
          memcpy (image.build_id, hex.text, hex.length + 1);
          return;
        }
      note = (const char *)id + ((head->n_descsz + 3) & ~3U);
    }
}

/* Reads the program, which is the first object.  */
static int
read_image (struct dl_phdr_info *info, size_t size, void *arg)
{
  (void)size;
  (void)arg;
  image.base = info->dlpi_addr;
  for (int i = 0; i < info->dlpi_phnum; i++)
    {
      const ElfW (Phdr) *p = &info->dlpi_phdr[i];
      uintptr_t begin = info->dlpi_addr + p->p_vaddr;

      if (p->p_type == PT_LOAD && (p->p_flags & PF_X))
        {
          image.code_begin = begin;
          image.code_end = begin + p->p_memsz;
        }
      if (p->p_type == PT_NOTE)
        read_build_id ((const char *)begin,
                       (const char *)(begin + p->p_memsz));
    }
  return 1;
}

void
cr_install (const char *name, int out, int as_json)
{
  static char stack[CR_STACK_SIZE];
  struct sigaction old,
      sa = { .sa_sigaction = on_crash,
             .sa_flags = (int)(SA_SIGINFO | SA_ONSTACK | SA_RESETHAND) };

  program = name;
  output = out;
  is_json = as_json;
  dl_iterate_phdr (read_image, NULL);
  cr_thread_begin (stack);
  for (size_t i = 0; i < sizeof signals / sizeof *signals; i++)
    if (!sigaction (signals[i], NULL, &old) && old.sa_handler == SIG_DFL)
      sigaction (signals[i], &sa, NULL);
}

void
cr_thread_begin (char stack[CR_STACK_SIZE])
{
  stack_t s = { .ss_sp = stack, .ss_size = CR_STACK_SIZE }, old;
  pthread_attr_t attributes;
  void *begin;
  size_t size;

  /* A sanitizer has a signal stack of its own, which it frees.  */
  if (!sigaltstack (NULL, &old) && (old.ss_flags & SS_DISABLE))
    sigaltstack (&s, NULL);
  if (pthread_getattr_np (pthread_self (), &attributes))
    return;
  if (!pthread_attr_getstack (&attributes, &begin, &size))
    stack_end = (uintptr_t)begin + size;
  pthread_attr_destroy (&attributes);
}

void
cr_set_term (int64_t number)
{
  atomic_store (&term, number);
}

void
cr_set_report_fn (cr_report_fn *fn)
{
  atomic_store (&report, fn);
}

void
cr_set_job (const char *id)
{
  subject.id = id;
  subject.has_task = 0;
}

void
cr_set_task (const char *id, int occurrence, int step, int task)
{
  subject = (struct subject){ id, 1, occurrence, step, task };
}

void
cr_clear (void)
{
  subject.id = NULL;
}
