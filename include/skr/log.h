/* Numbered log events over GLib's structured logging.  */
#ifndef SKR_LOG_H
#define SKR_LOG_H

#include <stdint.h>

#include "skr/events.h"

struct lg_field
{
  const char *name;
  const char *text; /* NULL for a number */
  int64_t number;
};

static inline struct lg_field
lg_str (const char *name, const char *text)
{
  return (struct lg_field){ name, text ? text : "", 0 };
}

static inline struct lg_field
lg_int (const char *name, int64_t number)
{
  return (struct lg_field){ name, 0, number };
}

enum lg_level
{
  LG_ERROR,
  LG_WARNING,
  LG_NOTICE,
  LG_INFO,
  LG_DEBUG
};

/* One line of the catalogue in docs/EVENTS.md.  */
struct lg_entry
{
  enum lg_event id;
  enum lg_level level;
  const char *name;    /* short, in kebab case */
  const char *fields;  /* names, separated by spaces */
  const char *meaning; /* one sentence */
  const char *action;  /* what an operator does; "none" */
};

extern const struct lg_entry lg_catalogue[]; /* ended by a NULL name */

/* PROGRAM stands in each line; OUTPUT is "plain", "json" or "journald";
   lines above LEVEL are dropped.  Returns 0 or BS_EINVAL.  */
int lg_init (const char *program, const char *output, enum lg_level level);
/* Lines go to standard output instead of standard error.  A line is dropped
   and counted, never waited for, when the output does not take it.  */
void lg_to_stdout (void);
/* Puts LEVEL in force, and at most RATE lines a second (0: no limit); those
   dropped are counted in event 106 once a second.  */
void lg_tune (enum lg_level level, int rate);
/* Logs event ID with COUNT fields.  Never give it a key or a secret.  */
void lg_log (enum lg_event id, int count, const struct lg_field *fields);

#endif
