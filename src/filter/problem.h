/* Errors of the HTTP interface as problem details (RFC 9457).  */
#ifndef FILTER_PROBLEM_H
#define FILTER_PROBLEM_H

#include <jansson.h>

enum
{
  FL_DETAIL_SIZE = 320 /* bytes */
};

enum fl_problem_kind
{
  FL_PROBLEM_NONE,
  FL_PROBLEM_MALFORMED,
  FL_PROBLEM_TOO_LARGE,
  FL_PROBLEM_UNAUTHORIZED,
  FL_PROBLEM_FORBIDDEN,
  FL_PROBLEM_NOT_FOUND,
  FL_PROBLEM_METHOD_NOT_ALLOWED,
  FL_PROBLEM_KEY_REQUIRED,
  FL_PROBLEM_OTHER_BODY,
  FL_PROBLEM_CAN_NEVER_RUN,
  FL_PROBLEM_RATE,
  FL_PROBLEM_CONCURRENCY,
  FL_PROBLEM_QUEUE_FULL,
  FL_PROBLEM_OVERLOAD,
  FL_PROBLEM_TABLE_DOWN,
  FL_PROBLEM_UNREADABLE,
  FL_PROBLEM_UNPROVED,
  FL_PROBLEM_NO_UPSTREAM,
  FL_PROBLEM_NOT_RUN,
  FL_PROBLEM_UNKNOWN,
  FL_PROBLEM_FAILED,
  FL_PROBLEM_VERSION_CONFLICT,
  FL_PROBLEM_VERSION_REQUIRED,
  FL_PROBLEM_BAD_LIST,
  FL_PROBLEM_GUARANTEES_MISFIT
};

struct fl_problem
{
  enum fl_problem_kind kind;
  int retry_after_s; /* Retry-After in seconds; 0: none */
  char detail[FL_DETAIL_SIZE];
};

/* Returns the HTTP status of KIND.  */
int fl_problem_status (enum fl_problem_kind kind);
/* Returns what is known about the request: "not_run", "unknown", "failed", or
   NULL when the question does not arise.  */
const char *fl_problem_state (enum fl_problem_kind kind);
/* Returns P as a new JSON object, or NULL when out of memory.  */
json_t *fl_problem_json (const struct fl_problem *p);
/* Fills P and returns KIND.  A kind that may be retried gets a Retry-After
   between its shortest value and twice that, by JITTER from 0 to 1.  */
enum fl_problem_kind fl_problem_set (struct fl_problem *p,
                                     enum fl_problem_kind kind, double jitter,
                                     const char *format, ...)
    __attribute__ ((format (printf, 4, 5)));

#endif
