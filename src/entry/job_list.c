/* Lists an account's jobs page by page, one cell after the other.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  DEFAULT_LIMIT = 100,       /* jobs in a page */
  MAX_LIMIT = 1000,          /* jobs in a page */
  SCAN_ROWS = 500,           /* rows read at most by one scan */
  MAX_SCANS_PER_REQUEST = 20 /* the page ends there; "next" continues it */
};

static const char *
string_field (const json_t *o, const char *field)
{
  const char *s = json_string_value (json_object_get (o, field));

  return s ? s : "";
}

static void
answer_page (struct en_core *core, struct en_request *req, int more)
{
  struct en_job_page *p = &req->u.page;
  json_t *o = json_pack ("{s:O}", "jobs", p->jobs);

  if (more)
    json_object_set_new (o, "next",
                         json_sprintf ("%s/%s",
                                       core->fleet.cell[p->cell_index].cell,
                                       p->after));
  en_answer_json (core, req, 200, o, NULL, NULL);
}

static int
is_full (const struct en_job_page *p)
{
  return (int)json_array_size (p->jobs) >= p->limit
         || p->scans >= MAX_SCANS_PER_REQUEST;
}

/* Scans the current cell after the last row read; answers the page when no
   cell is left.  */
static void
read_next_rows (struct en_core *core, struct en_request *req)
{
  struct en_job_page *p = &req->u.page;
  char table[PR_ID_SIZE + 8];

  if (p->cell_index >= core->fleet.cells)
    {
      answer_page (core, req, 0);
      return;
    }
  snprintf (table, sizeof table, "jobs.%s",
            core->fleet.cell[p->cell_index].cell);
  p->scans++;
  en_table_scan (core, req, EN_TABLE_REQUEST_STEP,
                 &(struct tb_scan){
                     .table = table, .after = p->after, .limit = SCAN_ROWS });
}

/* Returns the index of the cell where a page begins.  AFTER is ID or CELL/ID:
   a job may have moved from the cell in its id.  An empty ID starts at the
   cell's first row.  */
static int
find_start_cell (const struct en_core *core, const char *after)
{
  size_t n = strcspn (after, "/~");

  for (int i = 0; i < core->fleet.cells; i++)
    if (strlen (core->fleet.cell[i].cell) == n
        && !strncmp (core->fleet.cell[i].cell, after, n))
      return i;
  return 0;
}

void
en_job_list_begin (struct en_core *core, struct en_request *req)
{
  struct en_job_page *p = &req->u.page;
  const char *after = hs_query (req->ex, "after");
  const char *limit = hs_query (req->ex, "limit");
  long n = limit ? strtol (limit, NULL, 10) : DEFAULT_LIMIT;

  p->jobs = json_array ();
  p->limit = (int)CLAMP (n, 1, (long)MAX_LIMIT);
  if (after)
    {
      const char *slash = strchr (after, '/');

      g_strlcpy (p->after, slash ? slash + 1 : after, sizeof p->after);
      p->cell_index = find_start_cell (core, after);
    }
  read_next_rows (core, req);
}

static json_t *
job_summary (const char *id, const json_t *value)
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

/* Adds the account's jobs among ROWS to the page.  Returns 0 when the page is
   full before all ROWS are used.  */
static int
add_rows (struct en_core *core, struct en_request *req, const json_t *rows)
{
  const char *account = core->env.account[req->fr.account].name;
  struct en_job_page *p = &req->u.page;
  size_t i;
  json_t *row;

  json_array_foreach (rows, i, row)
  {
    const json_t *value = json_object_get (row, "value");

    if ((int)json_array_size (p->jobs) >= p->limit)
      return 0;
    g_strlcpy (p->after, string_field (row, "key"), sizeof p->after);
    if (!strcmp (string_field (value, "account"), account)
        && !json_object_get (value, "moved_to"))
      json_array_append_new (p->jobs, job_summary (p->after, value));
  }
  return 1;
}

void
en_job_list_on_table (struct en_core *core, struct en_request *req,
                      const struct en_event *ev)
{
  struct en_job_page *p = &req->u.page;
  json_t *data = ev->u.table.data;

  if (ev->u.table.error)
    {
      en_refuse (core, req, FL_PROBLEM_UNREADABLE,
                 "the jobs can't be read now");
      return;
    }
  if (!add_rows (core, req, json_object_get (data, "rows")))
    {
      answer_page (core, req, 1);
      return;
    }
  if (!json_is_true (json_object_get (data, "more")))
    {
      p->cell_index++;
      *p->after = '\0';
      if (p->cell_index < core->fleet.cells && is_full (p))
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
  read_next_rows (core, req);
}
