/* A log line when a signal ends the process, such as SIGSEGV.  It is written
   without allocating or blocking, and the exit status stays that of the
   signal.  */
#ifndef SKR_CRASH_H
#define SKR_CRASH_H

#include <stdint.h>

/* Installs the handlers, except for signals that are handled already, as a
   sanitizer does.  PROGRAM names the process in the line, which is written to
   descriptor OUTPUT, as JSON if AS_JSON is set.  To be called by the main
   thread.  */
void cr_install (const char *program, int output, int as_json);

enum
{
  CR_STACK_SIZE = 65536 /* bytes of a thread's signal stack */
};
/* Lets the handlers run on STACK, which must live as long as the calling
   thread, and records the bounds of the thread's own stack.  Only threads that
   called it have their callers in the line.  */
void cr_thread_begin (char stack[CR_STACK_SIZE]);

/* The term of the lease that the process holds; 0: none.  */
void cr_set_term (int64_t term);
/* Called by the handler after the line, with the job that the thread worked on
   ("": none).  It may only make async-signal-safe calls and must return
   soon.  */
typedef void cr_report_fn (const char *id);
void cr_set_report_fn (cr_report_fn *report);

/* What the calling thread works on, a part of the line.  ID, of which
   CR_ID_SIZE - 1 bytes count, is not copied and must stay until the next of
   these calls.  */
enum
{
  CR_ID_SIZE = 32
};
void cr_set_job (const char *id);
/* The same with one task of the job.  */
void cr_set_task (const char *id, int occurrence, int step, int task);
/* Ends both.  */
void cr_clear (void);

#endif
