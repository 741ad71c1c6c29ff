#ifndef CLI_H
#define CLI_H

#include <jansson.h>
#include <stdint.h>

#include "skr/http.h"
#include "skr/opt.h"

/* Exit codes of skr; docs/OPERATORS.md lists them.  */
enum sk_exit
{
  SK_OK = 0,
  SK_FAILED = 1,      /* refused for good: bad input, key or plan */
  SK_USAGE = 2,       /* bad arguments or settings */
  SK_NOT_RUN = 3,     /* not run; come back after the time given */
  SK_UNKNOWN = 4,     /* sent, and the end is not known yet */
  SK_CONFLICT = 5,    /* another version is in force */
  SK_NOT_FOUND = 6,   /* no such job, call or list */
  SK_UNREACHABLE = 7, /* no entry VM answers */
  SK_JOB_ENDED = 8    /* the job ended, but not as done */
};

struct sk_settings
{
  const char *entry; /* "IP:PORT" list, separated by commas */
  const char *key, *idempotency_key;
  const char *ca; /* file of the callers' TLS authority; "" for plain HTTP */
  int64_t timeout_ms, wait_ms;
  int json;
};

struct sk_session
{
  struct sk_settings set;
  struct hc_client *hc;
};

/* One exchange with the first entry VM that takes it.  */
struct sk_reply
{
  enum sk_exit exit;
  long status, retry_after_s;
  json_t *body; /* NULL when there is none */
};

/* Names a request; no entry VM has seen a FRESH key before.  */
struct sk_key
{
  const char *text;
  int fresh;
};

/* IF_MATCH is a version or -1; BODY and KEY may be NULL.  */
struct sk_reply sk_exchange (struct sk_session *s, const char *method,
                             const char *path, const json_t *body,
                             const struct sk_key *key, int64_t if_match);
void sk_reply_fini (struct sk_reply *reply);
/* Prints what went wrong on standard error and returns the exit code.  */
int sk_report (const struct sk_reply *reply);

/* Reads a JSON file, "-" for standard input; exits 2 when it is none.  */
json_t *sk_read_file (const char *path);
void sk_print_json (const json_t *value);
/* Prints the fields NAMES (NULL-ended) of each object of LIST as columns.  */
void sk_print_table (const json_t *list, const char *const *names);

/* The commands; each returns an exit code.  */
int sk_lists (struct sk_session *s, int argc, const char **argv);
int sk_job (struct sk_session *s, int argc, const char **argv);
int sk_call (struct sk_session *s, int argc, const char **argv);
int sk_show (struct sk_session *s, int argc, const char **argv);
int sk_batch (struct sk_session *s, int argc, const char **argv);
int sk_why (struct sk_session *s, int argc, const char **argv);
int sk_key (struct sk_session *s, int argc, const char **argv);

#endif
