#include <stdarg.h>
#include <stdio.h>

#include "filter/problem.h"

struct problem_type
{
  int status, retry_s; /* shortest Retry-After; 0: none */
  const char *slug, *title, *state;
};

static const struct problem_type types[] = {
  [FL_PROBLEM_NONE] = { 500, 0, "internal", "Internal error", NULL },
  [FL_PROBLEM_MALFORMED]
  = { 400, 0, "malformed", "The request is malformed", NULL },
  [FL_PROBLEM_TOO_LARGE]
  = { 413, 0, "too-large", "The body is too large", NULL },
  [FL_PROBLEM_UNAUTHORIZED] = { 401, 0, "unauthorized", "No such key", NULL },
  [FL_PROBLEM_FORBIDDEN]
  = { 403, 0, "forbidden", "The key is not good for this", NULL },
  [FL_PROBLEM_NOT_FOUND] = { 404, 0, "not-found", "Not found", NULL },
  [FL_PROBLEM_METHOD_NOT_ALLOWED]
  = { 405, 0, "method", "The method is not allowed here", NULL },
  [FL_PROBLEM_KEY_REQUIRED] = { 400, 0, "no-idempotency-key",
                                "Idempotency-Key is missing or bad", NULL },
  [FL_PROBLEM_OTHER_BODY]
  = { 409, 0, "other-body", "The key belongs to another request", NULL },
  [FL_PROBLEM_CAN_NEVER_RUN]
  = { 422, 0, "can-never-run", "The job can never run", "not_run" },
  [FL_PROBLEM_RATE]
  = { 429, 1, "rate", "The account's rate is used up", "not_run" },
  [FL_PROBLEM_CONCURRENCY]
  = { 429, 1, "concurrency", "Too many calls of the account are in progress",
      "not_run" },
  [FL_PROBLEM_QUEUE_FULL]
  = { 429, 5, "queue", "Too many jobs of the account are queued", "not_run" },
  [FL_PROBLEM_OVERLOAD] = { 503, 1, "overload", "Overloaded", "not_run" },
  [FL_PROBLEM_TABLE_DOWN]
  = { 503, 2, "table-down", "The table does not answer", "not_run" },
  [FL_PROBLEM_UNREADABLE]
  = { 503, 1, "unreadable", "The table does not answer", NULL },
  [FL_PROBLEM_UNPROVED]
  = { 503, 1, "unproved", "This attempt was not run; an earlier one may have",
      "unknown" },
  [FL_PROBLEM_NO_UPSTREAM]
  = { 503, 1, "no-upstream", "No upstream can take it", "not_run" },
  [FL_PROBLEM_NOT_RUN] = { 503, 1, "not-run", "It was not run", "not_run" },
  [FL_PROBLEM_UNKNOWN]
  = { 504, 1, "unknown", "Its end is not known", "unknown" },
  [FL_PROBLEM_FAILED] = { 502, 0, "failed", "It ran and failed", "failed" },
  [FL_PROBLEM_VERSION_CONFLICT]
  = { 409, 0, "version", "Another version is in force", NULL },
  [FL_PROBLEM_VERSION_REQUIRED]
  = { 428, 0, "no-version", "If-Match with the version is required", NULL },
  [FL_PROBLEM_BAD_LIST]
  = { 422, 0, "bad-list", "The list is not valid", NULL },
  [FL_PROBLEM_GUARANTEES_MISFIT]
  = { 422, 0, "no-fit", "The guarantees do not fit together", NULL },
};

int
fl_problem_status (enum fl_problem_kind kind)
{
  return types[kind].status;
}

const char *
fl_problem_state (enum fl_problem_kind kind)
{
  return types[kind].state;
}

json_t *
fl_problem_json (const struct fl_problem *p)
{
  const struct problem_type *l = &types[p->kind];
  char type[64];
  json_t *o;

  snprintf (type, sizeof type, "/problems/%s", l->slug);
  o = json_pack ("{s:s,s:s,s:i,s:s}", "type", type, "title", l->title,
                 "status", l->status, "detail", p->detail);
  if (o && l->state)
    json_object_set_new (o, "state", json_string (l->state));
  return o;
}

enum fl_problem_kind
fl_problem_set (struct fl_problem *p, enum fl_problem_kind kind, double jitter,
                const char *format, ...)
{
  int base = types[kind].retry_s;
  va_list args;

  p->kind = kind;
  p->retry_after_s = base + (int)((double)base * jitter + 0.5);
  va_start (args, format);
  vsnprintf (p->detail, sizeof p->detail, format, args);
  va_end (args);
  return kind;
}
