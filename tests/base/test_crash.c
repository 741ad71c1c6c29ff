/* Guards against a process that ends by a signal and leaves no line that says
   so and where.  */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "skr/base.h"
#include "skr/crash.h"
#include "suite.h"

enum
{
  TEXT_SIZE = 4096,
  TERM = 7,
  LIMIT_S = 20 /* a child that lives longer is blocked */
};

static volatile int *volatile nowhere;

static __attribute__ ((noinline)) int
read_nowhere (void)
{
  return *nowhere + 1;
}

static __attribute__ ((noinline)) int
call_reader (void)
{
  return read_nowhere () + 1;
}

static void
crash_by_read (void)
{
  _exit (call_reader () + 1);
}

/* Calls itself until the stack is used up.  */
static __attribute__ ((noinline)) int
use_stack (volatile char *below)
{
  volatile char here[TEXT_SIZE];

  here[0] = below[0];
  return here[0] ? 0 : use_stack (here) + here[0];
}

static void
crash_by_stack (void)
{
  volatile char begin[1] = { 0 };

  _exit (use_stack (begin));
}

static void
crash_by_abort (void)
{
  abort ();
}

static void *
crash_on_thread (void *crash)
{
  cr_set_task ("0000000000000001", 2, 3, 4);
  (*(void (**) (void))crash) ();
  return NULL;
}

/* Runs CRASH on a thread of a child whose output is FD.  Returns the signal
   that ends the child, or 0.  */
static int
crash_child (void (*crash) (void), int fd)
{
  pid_t child = fork ();
  int status = 0;

  if (!child)
    {
      struct bs_thread thread;

      alarm (LIMIT_S);
      /* A sanitizer has its own handlers.  */
      signal (SIGSEGV, SIG_DFL);
      signal (SIGABRT, SIG_DFL);
      cr_install ("test", fd, 0);
      cr_set_term (TERM);
      if (!bs_thread_start (&thread, crash_on_thread, &crash))
        bs_thread_join (&thread);
      _exit (EXIT_SUCCESS);
    }
  CU_ASSERT_FATAL (child > 0 && waitpid (child, &status, 0) == child);
  return WIFSIGNALED (status) ? WTERMSIG (status) : 0;
}

static void
check_line (void (*crash) (void), int sig, const char *signal_field)
{
  char text[TEXT_SIZE] = "";
  ssize_t n;
  int pipe_end[2];

  CU_ASSERT_FATAL (!pipe (pipe_end));
  CU_ASSERT_EQUAL (crash_child (crash, pipe_end[1]), sig);
  close (pipe_end[1]);
  n = read (pipe_end[0], text, sizeof text - 1);
  close (pipe_end[0]);
  CU_ASSERT_FATAL (n > 0);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, " 107 crashed signal="));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, signal_field));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, " term=7"));
  CU_ASSERT_PTR_NOT_NULL (
      strstr (text, " id=\"0000000000000001\" occurrence=2 step=3 task=4"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, " frames=\""));
  CU_ASSERT_EQUAL (text[n - 1], '\n');
}

/* Addresses of the program in the line of a read through a null pointer.  */
static void
test_names_callers (void)
{
  char text[TEXT_SIZE] = "";
  const char *frames;
  int pipe_end[2], addresses = 0;

  CU_ASSERT_FATAL (!pipe (pipe_end));
  crash_child (crash_by_read, pipe_end[1]);
  close (pipe_end[1]);
  CU_ASSERT_FATAL (read (pipe_end[0], text, sizeof text - 1) > 0);
  close (pipe_end[0]);
  frames = strstr (text, "frames=");
  CU_ASSERT_PTR_NOT_NULL_FATAL (frames);
  for (const char *p = frames; p && (p = strstr (p, "0x")); p++)
    addresses++;
  /* The read, what called it and the thread's function at least, as functions
     may be merged.  */
  CU_ASSERT (addresses >= 3);
}

static void
test_null_pointer (void)
{
  check_line (crash_by_read, SIGSEGV, "signal=11 address=\"0x0\"");
}

static void
test_abort (void)
{
  check_line (crash_by_abort, SIGABRT, "signal=6 ");
}

/* The handler needs a stack of its own.  */
static void
test_stack_used_up (void)
{
  check_line (crash_by_stack, SIGSEGV, "signal=11 ");
}

/* A process whose output nobody reads ends all the same.  */
static void
test_full_output (void)
{
  char filler[TEXT_SIZE] = "";
  int pipe_end[2];

  CU_ASSERT_FATAL (!pipe (pipe_end));
  fcntl (pipe_end[1], F_SETFL, O_NONBLOCK);
  while (write (pipe_end[1], filler, sizeof filler) > 0)
    continue;
  fcntl (pipe_end[1], F_SETFL, 0);
  CU_ASSERT_EQUAL (crash_child (crash_by_read, pipe_end[1]), SIGSEGV);
  close (pipe_end[0]);
  close (pipe_end[1]);
}

int
main (void)
{
  static const CU_TestInfo tests[] = {
    { "null pointer", test_null_pointer },
    { "names callers", test_names_callers },
    { "abort", test_abort },
    { "stack used up", test_stack_used_up },
    { "full output", test_full_output },
    CU_TEST_INFO_NULL,
  };

  if (bs_init ())
    return EXIT_FAILURE;
  return run_suite ("crash", tests);
}
