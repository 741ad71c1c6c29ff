#include <stdio.h>
#include <string.h>

#include "burn/burn.h"

enum
{
  MAX_MS = 1 << 30
};

static const char *const measure_names[]
    = { "truth", "done", "answer_time", "start_time", "completion_time" };

static int
fail (char *reason, const char *path, const char *what, size_t at)
{
  snprintf (reason, BN_REASON, "%s: entry %zu: %s", path, at, what);
  return BN_EINVAL;
}

static int
copy_name (char *out, const json_t *object, const char *field)
{
  const char *s = json_string_value (json_object_get (object, field));

  if (!s || !*s || strlen (s) >= BN_NAME)
    return BN_EINVAL;
  snprintf (out, BN_NAME, "%s", s);
  return BN_OK;
}

static int
copy_ms (int64_t *out, const json_t *object, const char *field)
{
  json_t *value = json_object_get (object, field);

  *out = json_integer_value (value);
  return json_is_integer (value) && *out > 0 && *out <= MAX_MS ? BN_OK
                                                               : BN_EINVAL;
}

static int
read_measure (const json_t *o, enum bn_measure *out)
{
  const char *s = json_string_value (json_object_get (o, "measure"));

  for (size_t i = 0; s && i < G_N_ELEMENTS (measure_names); i++)
    if (!strcmp (s, measure_names[i]))
      {
        *out = (enum bn_measure)i;
        return BN_OK;
      }
  return BN_EINVAL;
}

static int
has_only (const json_t *o, const char *const *known)
{
  const char *key;
  json_t *value;

  json_object_foreach ((json_t *)o, key, value)
  {
    if (!g_strv_contains (known, key))
      return 0;
  }
  return 1;
}

static int
read_objective (const json_t *e, struct bn_objective *o, const char **what)
{
  static const char *const known[]
      = { "name",      "measure",        "class", "account",
          "within_ms", "target_percent", NULL };
  int timed;

  *what = "unknown field";
  if (!json_is_object (e) || !has_only (e, known))
    return BN_EINVAL;
  *what = "name, class and account must be texts";
  if (copy_name (o->name, e, "name") || copy_name (o->class, e, "class")
      || copy_name (o->account, e, "account"))
    return BN_EINVAL;
  *what = "measure must be truth, done, answer_time, start_time or "
          "completion_time";
  if (read_measure (e, &o->measure))
    return BN_EINVAL;
  timed = o->measure >= BN_ANSWER_TIME;
  *what = "within_ms must be a time, for the timed measures only";
  if (timed != (json_object_get (e, "within_ms") != NULL)
      || (timed && copy_ms (&o->within_ms, e, "within_ms")))
    return BN_EINVAL;
  *what = "target_percent must be above 0 and below 100";
  o->target = json_number_value (json_object_get (e, "target_percent")) / 100;
  return o->target > 0 && o->target < 1 ? BN_OK : BN_EINVAL;
}

static int
read_window (const json_t *e, struct bn_window *w, const char **what)
{
  static const char *const known[]
      = { "name", "long_ms", "short_ms", "limit", NULL };

  *what = "a window has name, long_ms, short_ms (no longer) and limit";
  if (!json_is_object (e) || !has_only (e, known)
      || copy_name (w->name, e, "name") || copy_ms (&w->long_ms, e, "long_ms")
      || copy_ms (&w->short_ms, e, "short_ms") || w->short_ms > w->long_ms)
    return BN_EINVAL;
  w->limit = json_number_value (json_object_get (e, "limit"));
  return w->limit > 0 ? BN_OK : BN_EINVAL;
}

static int
read_lists (const json_t *root, const char *path, struct bn_objectives *out,
            char *reason)
{
  json_t *objectives = json_object_get (root, "objectives");
  json_t *windows = json_object_get (root, "windows");
  const char *what = "";
  size_t i;
  json_t *e;

  if (!json_array_size (objectives)
      || json_array_size (objectives) > BN_MAX_OBJECTIVES)
    return fail (reason, path, "objectives must be 1 to 64 entries", 0);
  if (!json_array_size (windows) || json_array_size (windows) > BN_MAX_WINDOWS)
    return fail (reason, path, "windows must be 1 to 4 entries", 0);
  json_array_foreach (objectives, i, e)
  {
    if (read_objective (e, &out->objective[out->objective_count++], &what))
      return fail (reason, path, what, i);
  }
  json_array_foreach (windows, i, e)
  {
    if (read_window (e, &out->window[out->window_count++], &what))
      return fail (reason, path, what, i);
  }
  return BN_OK;
}

int
bn_read_objectives (const char *path, struct bn_objectives *out, char *reason)
{
  static const char *const known[]
      = { "period_ms", "objectives", "windows", NULL };
  json_error_t error;
  json_t *root = json_load_file (path, 0, &error);
  int code;

  memset (out, 0, sizeof *out);
  if (!root)
    {
      snprintf (reason, BN_REASON, "%s:%d: %s", path, error.line, error.text);
      return BN_EINVAL;
    }
  if (!json_is_object (root) || !has_only (root, known)
      || copy_ms (&out->period_ms, root, "period_ms"))
    code = fail (reason, path,
                 "the file has period_ms, objectives and windows", 0);
  else
    code = read_lists (root, path, out, reason);
  json_decref (root);
  return code;
}
