#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "filter/error.h"
#include "filter/parse.h"

static int
depth_is_valid (const json_t *value, int remaining)
{
  const char *key;
  json_t *v;
  size_t i;

  if (!remaining)
    return 0;
  if (json_is_object (value))
    {
      json_object_foreach ((json_t *)(uintptr_t)value, key, v)
      {
        if (!depth_is_valid (v, remaining - 1))
          return 0;
      }
    }
  else if (json_is_array (value))
    {
      json_array_foreach (value, i, v)
      {
        if (!depth_is_valid (v, remaining - 1))
          return 0;
      }
    }
  return 1;
}

json_t *
fl_parse_value (const char *body, size_t size, struct fl_problem *p)
{
  json_error_t error;
  json_t *v = json_loadb (body, size, JSON_REJECT_DUPLICATES, &error);

  if (!v)
    fl_problem_set (p, FL_PROBLEM_MALFORMED, 0, "line %d: %s", error.line,
                    error.text);
  else if (!depth_is_valid (v, FL_MAX_DEPTH))
    {
      fl_problem_set (p, FL_PROBLEM_MALFORMED, 0,
                      "values are nested deeper than %d", FL_MAX_DEPTH);
      json_decref (v);
      v = NULL;
    }
  return v;
}

json_t *
fl_parse_object (const char *body, size_t size, struct fl_problem *p)
{
  json_t *o = fl_parse_value (body, size, p);

  if (o && !json_is_object (o))
    {
      json_decref (o);
      o = NULL;
      fl_problem_set (p, FL_PROBLEM_MALFORMED, 0,
                      "the body must be a JSON object");
    }
  return o;
}

static int
malformed (struct fl_problem *p, const char *what)
{
  fl_problem_set (p, FL_PROBLEM_MALFORMED, 0, "%s", what);
  return FL_EINVAL;
}

int
fl_parse_call (struct fl_call_body *out, json_t *o, struct fl_problem *p)
{
  json_error_t error;
  json_int_t deadline;

  if (json_unpack_ex (o, &error, JSON_STRICT, "{s:s,s:b,s:I,s:o}", "kind",
                      &out->kind, "repeatable", &out->repeatable,
                      "deadline_ms", &deadline, "payload", &out->payload))
    return malformed (p, error.text);
  if (!*out->kind || strlen (out->kind) > FL_MAX_KIND)
    return malformed (p, "\"kind\" must have 1 to 64 characters");
  if (deadline < 1 || deadline > FL_MAX_DEADLINE_MS)
    return malformed (p, "\"deadline_ms\" must be 1 to 600000");
  if (!json_is_object (out->payload))
    return malformed (p, "\"payload\" must be an object");
  out->deadline_ms = deadline;
  return FL_OK;
}

static int
check_job (struct fl_job_body *out, const char *class, json_int_t tasks,
           json_int_t per_task, json_int_t declared, struct fl_problem *p)
{
  if (strcmp (class, "urgent") != 0 && strcmp (class, "bulk") != 0)
    return malformed (p, "\"class\" must be \"urgent\" or \"bulk\"");
  if (tasks < 1 || tasks > FL_MAX_TASKS)
    return malformed (p, "\"tasks\" must be 1 to 4096");
  if (per_task < 0 || per_task > FL_MAX_PER_TASK)
    return malformed (p, "\"per_task\" must be 0 to 64");
  if (declared < 0 || declared > INT32_MAX)
    return malformed (p, "\"declared_ms\" must be 0 to 2147483647");
  if (!json_is_object (out->payload))
    return malformed (p, "\"payload\" must be an object");
  out->urgent = !strcmp (class, "urgent");
  out->tasks = (int32_t)tasks;
  out->per_task = (int32_t)per_task;
  out->declared_ms = declared;
  return FL_OK;
}

int
fl_parse_job (struct fl_job_body *out, json_t *o, struct fl_problem *p)
{
  json_error_t error;
  json_int_t tasks, per_task, declared;
  const char *class;

  if (json_unpack_ex (o, &error, JSON_STRICT, "{s:s,s:I,s:I,s:I,s:b,s:b,s:o}",
                      "class", &class, "tasks", &tasks, "per_task", &per_task,
                      "declared_ms", &declared, "repeatable", &out->repeatable,
                      "preemptible", &out->preemptible, "payload",
                      &out->payload))
    return malformed (p, error.text);
  return check_job (out, class, tasks, per_task, declared, p);
}

int
fl_key_is_valid (const char *key)
{
  static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
                                "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                "0123456789._~:-";
  size_t n = key ? strlen (key) : 0;

  return n && n <= FL_MAX_KEY && strspn (key, allowed) == n;
}

int
fl_parse_version (const char *text, int64_t *version)
{
  const char *start = *text == '"' ? text + 1 : text;
  char *end;

  errno = 0;
  *version = strtoll (start, &end, 10);
  if (errno || end == start || *version < 0)
    return FL_EINVAL;
  if (*text == '"' && *end == '"')
    end++;
  return *end ? FL_EINVAL : FL_OK;
}

int
fl_parse_attempt (const char *text, int32_t *attempt)
{
  char *end;
  long n;

  errno = 0;
  n = strtol (text, &end, 10);
  if (errno || end == text || *end || n < 1 || n > FL_MAX_ATTEMPT)
    return FL_EINVAL;
  *attempt = (int32_t)n;
  return FL_OK;
}
