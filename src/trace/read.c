#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "skr/trace.h"

enum
{
  MAX_COUNT = 1000000 /* largest size or number in an event */
};

static const struct
{
  const char *name;
  enum tr_kind kind;
} kinds[] = { { "worker", TR_WORKER },
              { "worker_leaving", TR_LEAVING },
              { "worker_down", TR_DOWN },
              { "worker_fails_all", TR_FAILS_ALL },
              { "worker_heals", TR_HEALS },
              { "plan", TR_PLAN },
              { "submit", TR_SUBMIT },
              { "cancel", TR_CANCEL },
              { "end", TR_END } };

void
tr_reader_init (struct tr_reader *reader, FILE *file, struct tr_tables *tables)
{
  memset (reader, 0, sizeof *reader);
  reader->file = file;
  reader->tables = tables;
  reader->invalid_at_ms = -1;
}

void
tr_reader_fini (struct tr_reader *reader)
{
  free (reader->line);
  reader->line = NULL;
}

static int __attribute__ ((format (printf, 2, 3)))
set_reason (struct tr_reader *r, const char *format, ...)
{
  va_list args;

  va_start (args, format);
  vsnprintf (r->reason, sizeof r->reason, format, args);
  va_end (args);
  return TR_EINVAL;
}

static int
get_integer (struct tr_reader *r, json_t *object, const char *field,
             int64_t min, int64_t max, int64_t *out)
{
  json_t *value = json_object_get (object, field);

  if (!value)
    return set_reason (r, "field \"%s\" is missing", field);
  if (!json_is_integer (value) || json_integer_value (value) < min
      || json_integer_value (value) > max)
    return set_reason (r, "field \"%s\" must be an integer from %lld to %lld",
                       field, (long long)min, (long long)max);
  *out = json_integer_value (value);
  return TR_OK;
}

static int
get_count (struct tr_reader *r, json_t *object, const char *field, int min,
           int max, int32_t *out)
{
  int64_t value = 0;
  int rc = get_integer (r, object, field, min, max, &value);

  *out = (int32_t)value;
  return rc;
}

static int
get_flag (struct tr_reader *r, json_t *object, const char *field, int absent,
          int *out)
{
  json_t *value = json_object_get (object, field);

  *out = absent;
  if (!value)
    return TR_OK;
  if (!json_is_boolean (value))
    return set_reason (r, "field \"%s\" must be true or false", field);
  *out = json_is_true (value);
  return TR_OK;
}

static int
get_value (struct tr_reader *r, json_t *object, const char *field,
           json_t **out)
{
  json_t *value = json_object_get (object, field);

  if (!value)
    return set_reason (r, "field \"%s\" is missing", field);
  if (!json_is_integer (value)
      && (!json_is_string (value) || !json_string_length (value)))
    return set_reason (r, "field \"%s\" must be a name or an integer", field);
  *out = value;
  return TR_OK;
}

static int
get_name (struct tr_reader *r, json_t *object, const char *field,
          struct tr_names *names, uint32_t *out)
{
  json_t *value = NULL;
  int rc = get_value (r, object, field, &value);

  if (!rc)
    *out = tr_name_add (names, value);
  return rc;
}

/* Like get_name, but the name must exist already.  */
static int
get_known (struct tr_reader *r, json_t *object, const char *field,
           const struct tr_names *names, uint32_t *out)
{
  json_t *value = NULL;
  int64_t handle;
  int rc = get_value (r, object, field, &value);

  if (rc)
    return rc;
  handle = tr_name_find (names, value);
  if (handle == TR_NONE)
    return set_reason (r, "field \"%s\" names no known %s", field,
                       names == &r->tables->job ? "job" : "worker");
  *out = (uint32_t)handle;
  return TR_OK;
}

static int
read_worker (struct tr_reader *r, json_t *object, struct tr_worker *worker)
{
  json_t *value = NULL;
  int rc;

  /* Check all fields first: an invalid line must not add names.  */
  if ((rc = get_value (r, object, "id", &value))
      || (rc = get_value (r, object, "rack", &value))
      || (rc = get_value (r, object, "domain", &value))
      || (rc = get_count (r, object, "accelerators", 0, DC_MAX_ACCELERATORS,
                          &worker->accelerators))
      || (rc = get_count (r, object, "slots", 1, MAX_COUNT, &worker->slots)))
    return rc;
  get_name (r, object, "id", &r->tables->worker, &worker->id);
  get_name (r, object, "rack", &r->tables->rack, &worker->rack);
  return get_name (r, object, "domain", &r->tables->domain, &worker->domain);
}

static int
read_guarantee (struct tr_reader *r, json_t *object, struct tr_plan *plan)
{
  json_t *list = json_object_get (object, "guarantee");
  json_t *entry;
  size_t i;
  int rc;

  if (!json_is_array (list))
    return set_reason (r, "field \"guarantee\" must be a list");
  if (json_array_size (list) > DC_MAX_SHAPES)
    return set_reason (r, "field \"guarantee\" must have at most %d entries",
                       DC_MAX_SHAPES);
  json_array_foreach (list, i, entry)
  {
    struct dc_shape *shape = &plan->shape[i];

    if (!json_is_object (entry))
      return set_reason (r, "an entry of \"guarantee\" must be an object");
    if ((rc = get_count (r, entry, "size", 1, MAX_COUNT, &shape->size))
        || (rc = get_count (r, entry, "count", 0, MAX_COUNT, &shape->count)))
      return rc;
  }
  plan->shapes = (int)json_array_size (list);
  return TR_OK;
}

static int
read_plan (struct tr_reader *r, json_t *object, struct tr_plan *plan)
{
  json_t *value = NULL;
  int rc;

  if ((rc = get_value (r, object, "account", &value))
      || (rc
          = get_integer (r, object, "version", 0, INT64_MAX, &plan->version))
      || (rc = read_guarantee (r, object, plan)))
    return rc;
  return get_name (r, object, "account", &r->tables->account, &plan->account);
}

static int
read_class (struct tr_reader *r, json_t *object, enum dc_class *class)
{
  const char *text = json_string_value (json_object_get (object, "class"));

  if (text && strcmp (text, "urgent") == 0)
    *class = DC_URGENT;
  else if (text && strcmp (text, "bulk") == 0)
    *class = DC_BULK;
  else
    return set_reason (r, "field \"class\" must be \"urgent\" or \"bulk\"");
  return TR_OK;
}

static int
read_submit (struct tr_reader *r, json_t *object, struct tr_submit *submit)
{
  struct dc_job_spec *spec = &submit->spec;
  json_t *job = NULL, *account = NULL;
  int rc;

  if ((rc = get_value (r, object, "job", &job))
      || (rc = get_value (r, object, "account", &account))
      || (rc = read_class (r, object, &spec->class))
      || (rc = get_count (r, object, "tasks", 1, MAX_COUNT, &spec->tasks))
      || (rc
          = get_count (r, object, "per_task", 0, MAX_COUNT, &spec->per_task))
      || (rc = get_integer (r, object, "declared_ms", 0, INT64_MAX,
                            &spec->declared_ms))
      || (rc = get_integer (r, object, "actual_ms", 0, INT32_MAX * 1000LL,
                            &submit->actual_ms))
      || (rc = get_flag (r, object, "repeatable", 1, &spec->repeatable))
      || (rc = get_flag (r, object, "preemptible", spec->class == DC_BULK,
                         &spec->preemptible))
      || (rc = get_flag (r, object, "fails", 0, &submit->fails)))
    return rc;
  if (tr_name_find (&r->tables->job, job) != TR_NONE)
    return set_reason (r,
                       "field \"job\" names a job that was submitted before");
  submit->job = tr_name_add (&r->tables->job, job);
  spec->account = tr_name_add (&r->tables->account, account);
  return TR_OK;
}

static int
read_body (struct tr_reader *r, json_t *object, struct tr_event *event)
{
  switch (event->kind)
    {
    case TR_WORKER:
      return read_worker (r, object, &event->u.worker);
    case TR_LEAVING:
    case TR_DOWN:
    case TR_FAILS_ALL:
    case TR_HEALS:
      return get_known (r, object, "id", &r->tables->worker,
                        &event->u.worker_id);
    case TR_PLAN:
      return read_plan (r, object, &event->u.plan);
    case TR_SUBMIT:
      return read_submit (r, object, &event->u.submit);
    case TR_CANCEL:
      return get_known (r, object, "job", &r->tables->job, &event->u.job);
    case TR_END:
      return TR_OK;
    }
  return TR_OK;
}

static int
read_kind (struct tr_reader *r, json_t *object, enum tr_kind *kind)
{
  json_t *value = json_object_get (object, "ev");
  const char *text = json_string_value (value);

  if (!value)
    return set_reason (r, "field \"ev\" is missing");
  for (size_t i = 0; text && i < sizeof kinds / sizeof *kinds; i++)
    if (strcmp (text, kinds[i].name) == 0)
      {
        *kind = kinds[i].kind;
        return TR_OK;
      }
  if (text)
    return set_reason (r, "unknown event \"%.64s\"", text);
  return set_reason (r, "field \"ev\" must be a string");
}

static int
read_object (struct tr_reader *r, json_t *object, struct tr_event *event)
{
  int rc;

  if (!json_is_object (object))
    return set_reason (r, "the line must be an object");
  if ((rc = get_integer (r, object, "at", 0, INT64_MAX / 4, &event->at_ms)))
    return rc;
  r->invalid_at_ms = event->at_ms;
  if (event->at_ms < r->now_ms)
    return set_reason (r, "time goes back from %lld to %lld",
                       (long long)r->now_ms, (long long)event->at_ms);
  if ((rc = read_kind (r, object, &event->kind)))
    return rc;
  return read_body (r, object, event);
}

static int
is_blank (const char *line)
{
  return line[strspn (line, " \t\r\n")] == '\0';
}

int
tr_read (struct tr_reader *reader, struct tr_event *event)
{
  json_error_t error;
  json_t *object;
  ssize_t length;
  int rc;

  do
    {
      length = getline (&reader->line, &reader->size, reader->file);
      if (length < 0)
        return ferror (reader->file) ? TR_EIO : 0;
      reader->number++;
    }
  while (is_blank (reader->line));
  memset (event, 0, sizeof *event);
  reader->invalid_at_ms = -1;
  object = json_loadb (reader->line, (size_t)length, JSON_REJECT_DUPLICATES,
                       &error);
  if (!object)
    return set_reason (reader, "not JSON: %s", error.text);
  rc = read_object (reader, object, event);
  json_decref (object);
  if (rc)
    return rc;
  reader->now_ms = event->at_ms;
  return 1;
}
