/* Operators read and change the configuration lists: plans and allowances.  */
#include <stdio.h>
#include <string.h>

#include "entry/entry.h"

enum
{
  MAX_ATTEMPTS = 5 /* attempts to store one change; a change of the other list
                      meanwhile causes a retry */
};

static json_t *
list_body (json_t *value)
{
  json_t *list = json_object_get (value, "list");
  json_int_t version = json_integer_value (json_object_get (value, "version"));

  return list ? json_pack ("{s:I,s:O}", "version", version, "list", list)
              : json_pack ("{s:I,s:[]}", "version", version, "list");
}

static void
answer_list (struct en_core *core, struct en_request *req, json_t *value)
{
  json_t *body = list_body (value);
  char etag[32];

  snprintf (etag, sizeof etag, "\"%lld\"",
            (long long)json_integer_value (json_object_get (body, "version")));
  en_answer_json (core, req, 200, body, "ETag", etag);
}

void
en_list_get (struct en_core *core, struct en_request *req)
{
  json_t *value = cf_list (&core->config, req->fr.id);

  answer_list (core, req, value);
  json_decref (value);
}

static void
scan_lists (struct en_core *core, struct en_request *req)
{
  struct en_list_change *l = &req->u.list;
  struct tb_scan next;

  l->committing = 0;
  cf_reader_init (&l->reader, 1);
  cf_read_begin (&l->reader, &next);
  en_table_scan (core, req, EN_TABLE_REQUEST_STEP, &next);
}

void
en_list_put (struct en_core *core, struct en_request *req)
{
  req->u.list.name = strcmp (req->fr.id, CF_PLANS) ? CF_ALLOWANCES : CF_PLANS;
  scan_lists (core, req);
}

static json_t *
find_row_value (const json_t *rows, const char *name)
{
  size_t i;
  json_t *row;

  json_array_foreach (rows, i, row)
  {
    const char *key = json_string_value (json_object_get (row, "key"));

    if (key && !strcmp (key, name))
      return json_object_get (row, "value");
  }
  return NULL;
}

static void
refuse_version (struct en_core *core, struct en_request *req, json_t *current,
                const char *reason)
{
  struct fl_problem p = { .kind = FL_PROBLEM_NONE };
  json_t *body = list_body (current);
  json_t *more
      = json_pack ("{s:o,s:{s:I,s:O}}", "current", body, "yours", "version",
                   (json_int_t)req->fr.u.version, "list", req->fr.json);

  fl_problem_set (&p, FL_PROBLEM_VERSION_CONFLICT, 0, "%s", reason);
  en_answer_problem (core, req, &p, more);
}

static int
copy_fleet (const struct en_core *core, struct cf_worker *out)
{
  for (int i = 0; i < core->fleet.workers; i++)
    {
      const struct fl_fleet_worker *w = &core->fleet.worker[i];

      g_strlcpy (out[i].cell, w->cell, sizeof out[i].cell);
      g_strlcpy (out[i].rack, w->rack, sizeof out[i].rack);
      out[i].accelerators = w->accelerators;
      out[i].slots = w->slots;
    }
  return core->fleet.workers;
}

static int64_t
find_row_version (const json_t *rows, const char *name)
{
  return json_integer_value (
      json_object_get (find_row_value (rows, name), "version"));
}

static void
propose_change (struct en_core *core, struct en_request *req,
                const struct cf_reader *table)
{
  struct cf_worker *fleet = g_new0 (struct cf_worker, EN_MAX_WORKERS);
  char reason[CF_REASON_SIZE] = "";
  struct en_list_change *l = &req->u.list;
  struct tb_txn txn;
  json_t *current;
  int error;

  tb_txn_init (&txn);
  error = cf_propose (&core->config, table, l->name, req->fr.u.version,
                      req->fr.json, fleet, copy_fleet (core, fleet),
                      (int32_t)core->settings->spare_workers, &txn, reason);
  g_free (fleet);
  switch ((enum cf_error)error)
    {
    case CF_OK:
      l->committing = 1;
      en_table_commit (core, req, EN_TABLE_REQUEST_STEP, &txn);
      break;
    case CF_ECONFLICT:
    case CF_ENOTNEWER:
      current = cf_read_list (table, l->name);
      refuse_version (core, req, current, reason);
      json_decref (current);
      break;
    case CF_EFIT:
      en_refuse (core, req, FL_PROBLEM_GUARANTEES_MISFIT, reason);
      break;
    case CF_EINVAL:
    case CF_ENOMEM:
      en_refuse (core, req, FL_PROBLEM_BAD_LIST, reason);
      break;
    }
  tb_txn_fini (&txn);
}

static void
answer_accepted (struct en_core *core, struct en_request *req)
{
  int64_t version = req->fr.u.version + 1;
  char etag[32];

  en_poll_config (core);
  en_notify_config (core, req->u.list.name);
  snprintf (etag, sizeof etag, "\"%lld\"", (long long)version);
  en_answer_json (core, req, 200,
                  json_pack ("{s:I}", "version", (json_int_t)version), "ETag",
                  etag);
}

static void
refuse_unknown (struct en_core *core, struct en_request *req)
{
  en_refuse (core, req, FL_PROBLEM_UNKNOWN,
             "the table's answer is lost; read the list again");
}

/* When the reply to a commit was lost, the lists in the table show whether the
   change was made.  Returns 1 when REQ was answered.  */
static int
judge_lost_commit (struct en_core *core, struct en_request *req,
                   const struct cf_reader *table)
{
  switch (cf_judge_change (table, req->u.list.name, req->fr.u.version,
                           req->fr.json))
    {
    case CF_CHANGE_STORED:
      answer_accepted (core, req);
      return 1;
    case CF_CHANGE_UNKNOWN:
      refuse_unknown (core, req);
      return 1;
    case CF_CHANGE_NOT_STORED:
      break;
    }
  return 0;
}

static void
on_lists_read (struct en_core *core, struct en_request *req,
               const struct cf_reader *table)
{
  if (req->u.list.write_unknown && judge_lost_commit (core, req, table))
    return;
  if (en_lists_are_newest (core, find_row_version (table->heads, CF_PLANS),
                           find_row_version (table->heads, CF_ALLOWANCES)))
    propose_change (core, req, table);
  else if (req->u.list.write_unknown)
    refuse_unknown (core, req);
  else
    /* The table may have been restored to an older state.  No change is based
       on it until a VM that has the newer lists has written them back.  */
    en_refuse (core, req, FL_PROBLEM_UNREADABLE,
               "nothing was changed: another VM may have newer lists; come "
               "back in a moment");
}

static void
on_table_silent (struct en_core *core, struct en_request *req)
{
  if (req->u.list.write_unknown)
    refuse_unknown (core, req);
  else
    en_refuse (core, req, FL_PROBLEM_UNREADABLE,
               "nothing was changed: the table does not answer");
}

static void
on_commit_result (struct en_core *core, struct en_request *req, int error)
{
  struct en_list_change *l = &req->u.list;

  if (error == TB_EUNKNOWN)
    l->write_unknown = 1;
  if (error == TB_OK)
    answer_accepted (core, req);
  else if (++l->attempts < MAX_ATTEMPTS
           && (error == TB_ECONFLICT || error == TB_EUNKNOWN))
    scan_lists (core, req);
  else
    on_table_silent (core, req);
}

/* The table did not answer, or its lists changed while they were read.  */
static void
on_read_failed (struct en_core *core, struct en_request *req, int error)
{
  struct en_list_change *l = &req->u.list;

  if ((l->write_unknown || !error) && ++l->attempts < MAX_ATTEMPTS)
    scan_lists (core, req);
  else
    on_table_silent (core, req);
}

void
en_list_on_table (struct en_core *core, struct en_request *req,
                  const struct en_event *ev)
{
  struct en_list_change *l = &req->u.list;
  int error = ev->u.table.error;
  struct cf_reader table;
  struct tb_scan next;
  enum cf_read_state end;

  if (l->committing)
    {
      on_commit_result (core, req, error);
      return;
    }
  end = cf_read_answer (&l->reader, &core->config, error, ev->u.table.data,
                        &next);
  if (end == CF_READ_MORE)
    {
      en_table_scan (core, req, EN_TABLE_REQUEST_STEP, &next);
      return;
    }
  table = l->reader;
  cf_reader_init (&l->reader, 1);
  if (end == CF_READ_FETCHED)
    on_lists_read (core, req, &table);
  else
    on_read_failed (core, req, error);
  cf_reader_fini (&table);
}
