/* Numbered log events, written through GLib's structured logging.  */
#ifndef SKR_LOG_H
#define SKR_LOG_H

#include <stdint.h>

#include "skr/events.h"

/* A named value of a log event, a string or a number.  */
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

/* An event of the catalogue, documented by one row of docs/EVENTS.md.  */
struct lg_entry
{
  enum lg_event id;
  enum lg_level level;
  const char *name;    /* in kebab case */
  const char *fields;  /* field names, separated by spaces */
  const char *meaning; /* one sentence */
  const char *action;  /* what an operator should do, or "none" */
};

extern const struct lg_entry lg_catalogue[]; /* terminated by a NULL name */

/* Sets the program name that each line contains, a string that the caller
   keeps; the OUTPUT format, "plain", "json" or "journald"; and the LEVEL above
   which events are not logged.  Returns 0 or BS_EINVAL.  */
int lg_init (const char *program, const char *output, enum lg_level level);
/* Writes lines to standard output instead of standard error.  A line that the
   output does not accept without blocking is dropped and counted.  */
void lg_to_stdout (void);
/* Sets the LEVEL, and the limit of RATE lines per second of each event (0: no
   limit).  Notices, warnings and errors, which tell of changes of state and
   refusals, have ten times that.  Event 106 reports the dropped lines by
   event, at most once a second.  */
void lg_tune (enum lg_level level, int rate);
/* Logs event ID with the first COUNT FIELDS, 12 at most.  Fields must not
   contain keys or other secrets.  */
void lg_log (enum lg_event id, int count, const struct lg_field *fields);

#endif
