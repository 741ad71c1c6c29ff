/* Strict parsers of request bodies and headers: unknown fields, wrong types
   and numbers out of range are refused.  */
#ifndef FILTER_PARSE_H
#define FILTER_PARSE_H

#include <jansson.h>
#include <stdint.h>

#include "filter/problem.h"

enum
{
  FL_MAX_KEY = 128,         /* characters of an Idempotency-Key */
  FL_MAX_ATTEMPT = 1000000, /* largest Idempotency-Attempt */
  FL_MAX_KIND = 64,         /* characters of a call's kind */
  FL_MAX_DEADLINE_MS = 600000,
  FL_MAX_PER_TASK = 64, /* accelerators */
  FL_MAX_TASKS = 4096,
  FL_MAX_DEPTH = 64 /* of nested values in a payload */
};

struct fl_call_body
{
  const char *kind;
  int repeatable;
  int64_t deadline_ms; /* after the arrival of the request */
  json_t *payload;     /* borrowed */
};

struct fl_job_body
{
  int urgent;
  int32_t tasks, per_task;
  int64_t declared_ms;
  int repeatable, preemptible;
  json_t *payload; /* borrowed */
};

/* Parses BODY, of SIZE bytes, as one JSON object.  Returns a new reference,
   or NULL with P set.  */
json_t *fl_parse_object (const char *body, size_t size, struct fl_problem *p);
/* Same, for any JSON value.  */
json_t *fl_parse_value (const char *body, size_t size, struct fl_problem *p);
/* Fill OUT from the object O, which must outlive OUT.  Return 0, or FL_EINVAL
   with P set.  */
int fl_parse_call (struct fl_call_body *out, json_t *o, struct fl_problem *p);
int fl_parse_job (struct fl_job_body *out, json_t *o, struct fl_problem *p);
/* True when KEY has 1 to FL_MAX_KEY letters, digits and . _ ~ : -  */
int fl_key_is_valid (const char *key);
/* Reads an Idempotency-Attempt.  Returns 0 or FL_EINVAL.  */
int fl_parse_attempt (const char *text, int32_t *attempt);
/* Reads an If-Match of one version, with or without quotes.  Returns 0 or
   FL_EINVAL.  */
int fl_parse_version (const char *text, int64_t *version);

#endif
