/* The list of an account's own jobs, cell by cell.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  DEFAULT_LIMIT = 100,
  MAX_LIMIT = 1000,
  SCAN_ROWS = 500,
  MAX_SCANS = 20 /* of one request; "next" goes on from there */
};

static const char *
string_of (const json_t *o, const char *field)
{
  const char *s = json_string_value (json_object_get (o, field));

  return s ? s : "";
}

static void
answer_page (struct en_core *core, struct en_request *req, int more)
{
  struct en_page *p = &req->u.page;
  json_t *o = json_pack ("{s:O}", "jobs", p->jobs);

  if (more)
    json_object_set_new (
        o, "next",
        json_sprintf ("%s/%s", core->fleet.cell[p->cell].cell, p->after));
  en_answer_json (core, req, 200, o, NULL, NULL);
}

static int
is_full (const struct en_page *p)
{
  return (int)json_array_size (p->jobs) >= p->limit || p->scans >= MAX_SCANS;
}

/* Reads on from p->after in the cell that it names, or the next cell.  */
static void
read_on (struct en_core *core, struct en_request *req)
{
  struct en_page *p = &req->u.page;
  char table[PR_ID + 8];

  if (p->cell >= core->fleet.cells)
    {
      answer_page (core, req, 0);
      return;
    }
  snprintf (table, sizeof table, "jobs.%s", core->fleet.cell[p->cell].cell);
  p->scans++;
  en_scan (core, req, EN_TAG_STEP,
           &(struct tb_scan){
               .table = table, .after = p->after, .limit = SCAN_ROWS });
}

/* AFTER is an id, or CELL/ID: a job may be in another cell than its id says,
   and without an ID the cell is read from its start.  */
static int
cell_of (const struct en_core *core, const char *after)
{
  size_t n = strcspn (after, "/~");

  for (int i = 0; i < core->fleet.cells; i++)
    if (strlen (core->fleet.cell[i].cell) == n
        && !strncmp (core->fleet.cell[i].cell, after, n))
      return i;
  return 0;
}

void
en_jobs_begin (struct en_core *core, struct en_request *req)
{
  struct en_page *p = &req->u.page;
  const char *after = hs_query (req->ex, "after");
  const char *limit = hs_query (req->ex, "limit");
  long n = limit ? strtol (limit, NULL, 10) : DEFAULT_LIMIT;

  p->jobs = json_array ();
  p->limit = (int)CLAMP (n, 1, (long)MAX_LIMIT);
  if (after)
    {
      const char *slash = strchr (after, '/');

      g_strlcpy (p->after, slash ? slash + 1 : after, sizeof p->after);
      p->cell = cell_of (core, after);
    }
  read_on (core, req);
}

static json_t *
summary (const char *id, const json_t *value)
{
  json_t *o = json_pack ("{s:s}", "job", id);
  static const char *const field[]
      = { "class", "state", "reason", "attempt", "tasks", "per_task" };

  for (size_t i = 0; i < sizeof field / sizeof field[0]; i++)
    {
      json_t *v = json_object_get (value, field[i]);

      if (v)
        json_object_set (o, field[i], v);
    }
  return o;
}

/* Returns 0 when the page became full before the rows' end.  */
static int
take_rows (struct en_core *core, struct en_request *req, const json_t *rows)
{
  const char *account = core->env.account[req->fr.account].name;
  struct en_page *p = &req->u.page;
  size_t i;
  json_t *row;

  json_array_foreach (rows, i, row)
  {
    const json_t *value = json_object_get (row, "value");

    if ((int)json_array_size (p->jobs) >= p->limit)
      return 0;
    g_strlcpy (p->after, string_of (row, "key"), sizeof p->after);
    if (!strcmp (string_of (value, "account"), account)
        && !json_object_get (value, "moved_to"))
      json_array_append_new (p->jobs, summary (p->after, value));
  }
  return 1;
}

void
en_jobs_table (struct en_core *core, struct en_request *req,
               const struct en_event *ev)
{
  struct en_page *p = &req->u.page;
  json_t *data = ev->u.table.data;

  if (ev->u.table.error)
    {
      en_refuse (core, req, FL_PROBLEM_UNREADABLE,
                 "the jobs can't be read now");
      return;
    }
  if (!take_rows (core, req, json_object_get (data, "rows")))
    {
      answer_page (core, req, 1);
      return;
    }
  if (!json_is_true (json_object_get (data, "more")))
    {
      p->cell++;
      *p->after = '\0';
      if (p->cell < core->fleet.cells && is_full (p))
        {
          answer_page (core, req, 1);
          return;
        }
    }
  else if (is_full (p))
    {
      answer_page (core, req, 1);
      return;
    }
  read_on (core, req);
}
