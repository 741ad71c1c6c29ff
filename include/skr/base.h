/* Errors and clocks shared by every layer.  */
#ifndef SKR_BASE_H
#define SKR_BASE_H

#include <stdint.h>

#define SKR_VERSION "0.1.0"

/* Errors of the base layer, always negative; 0 is success.  Every other
   layer has an enum of its own, in a block of one hundred:
   trace -100, decide -200, net -300, table -400, control -500,
   filter -600.  A layer turns the errors of the one below into its own.  */
enum bs_error
{
  BS_OK = 0,
  BS_EINVAL = -1,   /* malformed argument */
  BS_ENOMEM = -2,   /* allocation failed */
  BS_EFULL = -3,    /* bounded queue or table is full */
  BS_ETIMEOUT = -4, /* nothing arrived in time */
  BS_ECLOSED = -5,  /* queue was closed */
  BS_EOS = -6       /* the operating system refused */
};

const char *bs_strerror (int error);

/* A source of time in milliseconds.  Real clocks are monotonic; tests pass
   one that they advance by hand.  */
struct bs_clock
{
  int64_t (*now_ms) (void *arg);
  void *arg;
};

/* The system's monotonic clock.  */
struct bs_clock bs_clock_system (void);
/* The same, but it also counts time during which the VM was suspended: for
   leases that others see run out meanwhile.  */
struct bs_clock bs_clock_boot (void);
int64_t bs_now_ms (const struct bs_clock *clock);

/* Wall-clock milliseconds since 1970, for stored rows and logs only; never
   compared with the clock of another VM.  */
int64_t bs_wall_ms (void);

/* Writes LEN random bytes from the system as 2 * LEN lower-case hex digits
   and a NUL to OUT.  */
void bs_random_hex (char *out, unsigned len);

/* Writes the hex BLAKE2b-256 digest of TEXT, 64 digits and a NUL.  */
enum
{
  BS_DIGEST_SIZE = 65 /* bytes, with the NUL */
};
void bs_digest (char out[BS_DIGEST_SIZE], const char *text);

/* Calls apr_initialize, curl_global_init and sodium_init once.  Returns 0 or
   BS_EOS.  */
int bs_init (void);

/* A thread over APR, in memory that the caller owns; it and its pool are
   freed by the join.  */
struct apr_pool_t;
struct apr_thread_t;
struct bs_thread
{
  struct apr_pool_t *pool;
  struct apr_thread_t *thread; /* NULL: none runs */
  void *(*run) (void *arg);
  void *arg;
};

/* Returns 0 or BS_EOS.  After bs_init.  */
int bs_thread_start (struct bs_thread *thread, void *(*run) (void *arg),
                     void *arg);
/* Waits for the thread's end; does nothing when none was started.  */
void bs_thread_join (struct bs_thread *thread);

/* Installs handlers for SIGTERM and SIGINT and ignores SIGPIPE.  */
void bs_stop_on_signals (void);
/* Installs a handler for SIGHUP, which asks for a reload.  */
void bs_reload_on_signal (void);
/* 1 once SIGHUP arrived; bs_reload_wanted also takes note of it.  */
int bs_reload_pending (void);
int bs_reload_wanted (void);
/* Waits up to TIMEOUT_MS for a stop signal; returns 1 once one arrived.  */
int bs_stop_wait (int timeout_ms);

#endif
