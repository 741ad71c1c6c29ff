#include <apr_general.h>
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <sodium.h>
#include <stdatomic.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "skr/base.h"

/* Set by signal handlers, which may run on any thread.  */
static atomic_int stop_flag, reload_flag;

const char *
bs_strerror (int error)
{
  switch ((enum bs_error)error)
    {
    case BS_OK:
      return "success";
    case BS_EINVAL:
      return "invalid argument";
    case BS_ENOMEM:
      return "out of memory";
    case BS_EFULL:
      return "queue is full";
    case BS_ETIMEOUT:
      return "timed out";
    case BS_ECLOSED:
      return "queue is closed";
    case BS_EOS:
      return "operating system error";
    }
  return "unknown error";
}

static int64_t
system_now_ms (void *arg)
{
  struct timespec ts;

  (void)arg;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t
boot_now_ms (void *arg)
{
  struct timespec ts;

  (void)arg;
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

struct bs_clock
bs_clock_boot (void)
{
  return (struct bs_clock){ boot_now_ms, NULL };
}

struct bs_clock
bs_clock_system (void)
{
  return (struct bs_clock){ system_now_ms, NULL };
}

int64_t
bs_now_ms (const struct bs_clock *clock)
{
  return clock->now_ms (clock->arg);
}

int64_t
bs_wall_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

static int64_t
cpu_us (clockid_t clock)
{
  struct timespec ts;

  return clock_gettime (clock, &ts)
             ? 0
             : ts.tv_sec * INT64_C (1000000) + ts.tv_nsec / 1000;
}

int64_t
bs_thread_cpu_us (void)
{
  return cpu_us (CLOCK_THREAD_CPUTIME_ID);
}

int64_t
bs_process_cpu_us (void)
{
  return cpu_us (CLOCK_PROCESS_CPUTIME_ID);
}

void
bs_random_hex (char *out, unsigned len)
{
  unsigned char raw[64];

  if (len > sizeof raw)
    len = sizeof raw;
  randombytes_buf (raw, len);
  sodium_bin2hex (out, len * 2 + 1, raw, len);
}

void
bs_digest (char out[BS_DIGEST_SIZE], const char *text)
{
  unsigned char raw[crypto_generichash_BYTES];

  crypto_generichash (raw, sizeof raw, (const unsigned char *)text,
                      strlen (text), NULL, 0);
  sodium_bin2hex (out, BS_DIGEST_SIZE, raw, sizeof raw);
}

int
bs_init (void)
{
  if (apr_initialize () != APR_SUCCESS)
    return BS_EOS;
  if (curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return BS_EOS;
  return sodium_init () < 0 ? BS_EOS : BS_OK;
}

static void
on_stop (int sig)
{
  (void)sig;
  stop_flag = 1;
}

void
bs_stop_on_signals (void)
{
  struct sigaction sa = { .sa_handler = on_stop };

  sigaction (SIGTERM, &sa, NULL);
  sigaction (SIGINT, &sa, NULL);
  sa.sa_handler = SIG_IGN;
  sigaction (SIGPIPE, &sa, NULL);
}

static void
on_reload (int sig)
{
  (void)sig;
  reload_flag = 1;
}

void
bs_reload_on_signal (void)
{
  struct sigaction sa = { .sa_handler = on_reload };

  sigaction (SIGHUP, &sa, NULL);
}

int
bs_reload_pending (void)
{
  return reload_flag != 0;
}

int
bs_reload_consume (void)
{
  return atomic_exchange (&reload_flag, 0);
}

int
bs_stop_wait (int timeout_ms)
{
  enum
  {
    SLICE_MS = 20
  };

  while (!stop_flag && timeout_ms > 0)
    {
      struct timespec ts = { 0, SLICE_MS * 1000000L };

      nanosleep (&ts, NULL);
      timeout_ms -= SLICE_MS;
    }
  return stop_flag != 0;
}
