/* Error codes, clocks, threads, signals and digests used by every layer.  */
#ifndef SKR_BASE_H
#define SKR_BASE_H

#include <stdint.h>

#define SKR_VERSION "0.1.0"

/* Errors of the base layer, always negative; 0 is success.  Each other layer
   has its own enum in a block of one hundred: trace -100, decide -200,
   net -300, table -400, control -500, filter -600.  A layer converts the
   errors of the layer below into its own.  */
enum bs_error
{
  BS_OK = 0,
  BS_EINVAL = -1,   /* malformed argument */
  BS_ENOMEM = -2,   /* allocation failed */
  BS_EFULL = -3,    /* bounded queue or table is full */
  BS_ETIMEOUT = -4, /* no item arrived before the timeout */
  BS_ECLOSED = -5,  /* queue is closed */
  BS_EOS = -6       /* operating system error */
};

/* A static description of a bs_error.  */
const char *bs_strerror (int error);

/* A source of time in milliseconds.  Real clocks are monotonic; tests pass a
   fake clock.  */
struct bs_clock
{
  int64_t (*now_ms) (void *arg);
  void *arg;
};

/* The system's monotonic clock.  */
struct bs_clock bs_clock_system (void);
/* The same, but it includes time during which the VM was suspended.  Used for
   leases, which expire for other VMs during a suspension.  */
struct bs_clock bs_clock_boot (void);
int64_t bs_now_ms (const struct bs_clock *clock);

/* Wall-clock milliseconds since 1970, for stored rows and logs only.  Must not
   be compared with the clock of another VM.  */
int64_t bs_wall_ms (void);

/* Processor time that the calling thread, or the process, has used, in
   microseconds.  */
int64_t bs_thread_cpu_us (void);
int64_t bs_process_cpu_us (void);

/* Writes LEN random bytes, 64 at most, as 2 * LEN lower-case hex digits and a
   NUL to OUT.  */
void bs_random_hex (char *out, unsigned len);

/* Writes the hex BLAKE2b-256 digest of TEXT, 64 digits and a NUL.  */
enum
{
  BS_DIGEST_SIZE = 65 /* bytes with the NUL */
};
void bs_digest (char out[BS_DIGEST_SIZE], const char *text);

/* Calls apr_initialize, curl_global_init and sodium_init; to be called once
   per process.  Returns 0 or BS_EOS.  */
int bs_init (void);

/* An APR thread and its pool.  The caller owns the memory of the structure;
   bs_thread_join frees the thread and the pool.  */
struct apr_pool_t;
struct apr_thread_t;
struct bs_thread
{
  struct apr_pool_t *pool;
  struct apr_thread_t *thread; /* NULL: not running */
  char *signal_stack;
  void *(*run) (void *arg);
  void *arg;
};

/* Runs RUN (ARG) on a new thread.  Requires bs_init.  Returns 0 or BS_EOS.  */
int bs_thread_start (struct bs_thread *thread, void *(*run) (void *arg),
                     void *arg);
/* Waits until the thread ends; does nothing when none was started.  */
void bs_thread_join (struct bs_thread *thread);

/* Installs handlers that turn SIGTERM and SIGINT into a stop signal, and
   ignores SIGPIPE.  */
void bs_stop_on_signals (void);
/* Installs a handler for SIGHUP, which requests a reload.  */
void bs_reload_on_signal (void);
/* Both return nonzero when a reload was requested; bs_reload_consume also
   clears the request.  */
int bs_reload_pending (void);
int bs_reload_consume (void);
/* Waits up to TIMEOUT_MS for a stop signal.  Returns 1 when one has arrived,
   else 0.  */
int bs_stop_wait (int timeout_ms);

/* Counts the opening brackets and braces, commas and colons of the JSON of
   TEXT outside its strings, of which each value has one at least.  TEXT need
   not be valid.  A tree of many small values takes fifty times the memory of
   its text and long to build; the count tells before.  */
int bs_json_tokens (const char *text);

#endif
