#include "batch/caution.h"

#include <glib.h>
#include <string.h>

enum
{
  PLAIN_FROM = 2,   /* ends in a row after which the optional parts are off */
  SUSPEND_FROM = 3, /* and after which jobs are suspended */
  MAX_ENDS = 1000,
  CALM_MS = 60000,
  MAX_PATIENCE = 5 /* 32 minutes */
};

static int
read_int (const json_t *o, const char *name, int max)
{
  json_int_t n = json_integer_value (json_object_get (o, name));

  return n < 0 ? 0 : (int)MIN (n, max);
}

void
ca_read (struct ca_caution *c, const json_t *value)
{
  size_t i;
  json_t *id;

  memset (c, 0, sizeof *c);
  c->ends = read_int (value, "ends", MAX_ENDS);
  c->returned = read_int (value, "returned", SJ_PARTS);
  c->patience = read_int (value, "patience", MAX_PATIENCE);
  json_array_foreach (json_object_get (value, "suspended"), i,
                      id) if (json_is_string (id))
      ca_suspend (c, json_string_value (id));
  c->tried = read_int (value, "tried", c->count);
}

json_t *
ca_write (const struct ca_caution *c)
{
  json_t *suspended;

  if (!c->ends && !c->count)
    return NULL;
  suspended = json_array ();
  for (int i = 0; i < c->count; i++)
    json_array_append_new (suspended, json_string (c->suspended[i]));
  return json_pack ("{s:i,s:i,s:i,s:o,s:i}", "ends", c->ends, "returned",
                    c->returned, "patience", c->patience, "suspended",
                    suspended, "tried", c->tried);
}

static int
find (const struct ca_caution *c, const char *id)
{
  for (int i = 0; i < c->count; i++)
    if (!strcmp (c->suspended[i], id))
      return i;
  return -1;
}

int
ca_suspend (struct ca_caution *c, const char *id)
{
  if (strlen (id) != SJ_ID_SIZE - 1 || c->count == CA_MAX_SUSPENDED
      || find (c, id) >= 0)
    return 0;
  g_strlcpy (c->suspended[c->count++], id, SJ_ID_SIZE);
  return 1;
}

/* Removes the jobs from FIRST on, N of them.  */
static void
remove_jobs (struct ca_caution *c, int first, int n)
{
  memmove (c->suspended[first], c->suspended[first + n],
           (size_t)(c->count - first - n) * sizeof *c->suspended);
  c->count -= n;
}

int
ca_resume (struct ca_caution *c, const char *id)
{
  int i = find (c, id);

  if (i < 0)
    return 0;
  if (i >= c->count - c->tried)
    c->tried--;
  remove_jobs (c, i, 1);
  return 1;
}

int
ca_is_suspended (const struct ca_caution *c, const char *id)
{
  int i = find (c, id);

  return i >= 0 && i < c->count - c->tried;
}

unsigned
ca_parts (const struct ca_caution *c)
{
  if (c->ends < PLAIN_FROM)
    return SJ_ALL_PARTS;
  return (1U << c->returned) - 1;
}

/* Makes the calm time longer and turns the parts off again.  */
static void
give_up_step (struct ca_caution *c)
{
  c->returned = 0;
  c->patience = MIN (c->patience + 1, MAX_PATIENCE);
}

int
ca_note_crash (struct ca_caution *c, const char *id)
{
  c->ends = MIN (c->ends + 1, MAX_ENDS);
  if (c->tried)
    {
      /* The jobs on trial are at fault, so the others are not.  */
      remove_jobs (c, 0, c->count - c->tried);
      c->tried = 0;
      give_up_step (c);
      return 0;
    }
  if (c->returned)
    {
      give_up_step (c);
      return 0;
    }
  if (c->ends < SUSPEND_FROM || ca_suspend (c, id))
    return 0;
  return MIN (MAX (c->count, 1), CA_MAX_SUSPENDED - c->count);
}

int64_t
ca_calm_ms (const struct ca_caution *c)
{
  return (int64_t)CALM_MS << c->patience;
}

/* Puts half of the jobs back, on trial.  */
static void
begin_trial (struct ca_caution *c)
{
  c->tried = c->count / 2;
}

enum ca_step
ca_step (struct ca_caution *c)
{
  if (c->ends >= PLAIN_FROM && c->returned < SJ_PARTS)
    {
      c->returned++;
      return CA_PARTS;
    }
  /* The jobs on trial are not at fault.  */
  c->count -= c->tried;
  c->tried = 0;
  if (c->count > 1)
    {
      begin_trial (c);
      return CA_RELOAD;
    }
  c->ends = c->returned = c->patience = 0;
  return CA_NONE;
}
