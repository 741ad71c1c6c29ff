/* Polls the platform each second for configuration, VMs, cells and jobs.  */
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

static const char *
string_field (const json_t *o, const char *field)
{
  const char *s = json_string_value (json_object_get (o, field));

  return s ? s : "";
}

int
en_poll_begin (struct en_core *core, enum en_table_purpose purpose)
{
  if (core->polls_in_progress & 1 << purpose)
    return 0;
  core->polls_in_progress |= 1 << purpose;
  return 1;
}

/* A read in progress may have begun before the change that is to be read, so
   another read follows it.  */
void
en_poll_config (struct en_core *core)
{
  struct tb_scan next;

  if (cf_read_begin (&core->config_reader, &next))
    en_table_scan (core, NULL, EN_TABLE_POLL_CONFIG, &next);
}

/* Sets the hedge delay to the p95 of answered attempts once there are enough
   samples.  */
static void
update_hedge_delay (struct en_core *core)
{
  enum
  {
    MIN_SAMPLES = 20,
    MIN_HEDGE_MS = 20
  };
  int series = st_series (&core->stat, ST_HISTOGRAM, "skr_attempt_seconds",
                          "end=\"done\"");
  int64_t p95 = st_quantile_us (&core->stat, series, 0.95);

  core->hedge_ms = 0;
  if (st_value (&core->stat, series) >= MIN_SAMPLES)
    core->hedge_ms = MAX (p95 / 1000, MIN_HEDGE_MS);
}

void
en_poll (void *arg, int64_t now_ms)
{
  struct en_core *core = arg;

  (void)now_ms;
  if (!core->config_reader.in_progress)
    en_poll_config (core);
  en_vms_poll_periodic (core);
  if (en_poll_begin (core, EN_TABLE_POLL_CELLS))
    en_table_scan (core, NULL, EN_TABLE_POLL_CELLS,
                   &(struct tb_scan){ .table = "cells" });
  en_queued_jobs_poll (core);
  update_hedge_delay (core);
}

/* Writes the lists in force on this VM to a table that was restored to an
   older state.  */
static void
repair_config (struct en_core *core)
{
  struct tb_txn txn;

  tb_txn_init (&txn);
  if (cf_repair (&core->config, &core->config_reader, &txn)
      && en_poll_begin (core, EN_TABLE_REPAIR_CONFIG))
    en_table_commit (core, NULL, EN_TABLE_REPAIR_CONFIG, &txn);
  tb_txn_fini (&txn);
}

static void
on_config_rows (struct en_core *core, int error, const json_t *data)
{
  struct tb_scan next;

  switch (
      cf_read_answer (&core->config_reader, &core->config, error, data, &next))
    {
    case CF_READ_MORE:
      en_table_scan (core, NULL, EN_TABLE_POLL_CONFIG, &next);
      return;
    case CF_READ_APPLIED:
      en_update_accounts (core);
      break;
    case CF_READ_TABLE_OUTDATED:
      repair_config (core);
      break;
    case CF_READ_UNCHANGED:
    case CF_READ_FETCHED:
    case CF_READ_FAILED:
      break;
    }
  if (cf_load_cells_per_domain (&core->config, core->config_reader.heads))
    {
      core->fleet.cells = 0; /* the known cells were named as if each failure
                                domain were one cell */
      en_vms_apply (core);
    }
  if (core->config_reader.repeat)
    en_poll_config (core);
}

static int
compare_cells (const void *a, const void *b)
{
  return strcmp (((const struct fl_cell *)a)->cell,
                 ((const struct fl_cell *)b)->cell);
}

struct fl_cell *
en_find_or_add_cell (struct fl_fleet *f, const char *name)
{
  for (int i = 0; i < f->cells; i++)
    if (!strcmp (f->cell[i].cell, name))
      return &f->cell[i];
  if (!*name || f->cells == CF_MAX_CELLS)
    return NULL;
  f->cell[f->cells] = (struct fl_cell){ .free_accelerators = -1 };
  g_strlcpy (f->cell[f->cells].cell, name, PR_ID_SIZE);
  f->cells++;
  qsort (f->cell, (size_t)f->cells, sizeof *f->cell, compare_cells);
  return en_find_or_add_cell (f, name);
}

static void
on_cell_rows (struct en_core *core, json_t *data)
{
  json_t *rows = json_object_get (data, "rows"), *row, *list = json_array ();
  size_t i;

  json_array_foreach (rows, i, row)
  {
    const char *name = string_field (row, "key");
    json_t *value = json_object_get (row, "value"), *o;
    struct fl_cell *c = en_find_or_add_cell (&core->fleet, name);

    if (!c || !value)
      continue;
    g_strlcpy (c->holder, string_field (value, "holder"), sizeof c->holder);
    if (json_is_integer (json_object_get (value, "free")))
      c->free_accelerators
          = json_integer_value (json_object_get (value, "free"));
    o = json_copy (value);
    json_object_set_new (o, "cell", json_string (name));
    json_array_append_new (list, o);
  }
  json_decref (core->cells_json);
  core->cells_json = json_pack ("{s:o}", "cells", list);
}

void
en_on_poll_result (struct en_core *core, const struct en_event *ev)
{
  json_t *data = ev->u.table.data;

  core->polls_in_progress &= ~(1 << ev->u.table.purpose);
  if (ev->u.table.purpose == EN_TABLE_POLL_CONFIG)
    on_config_rows (core, ev->u.table.error, data);
  if (ev->u.table.purpose == EN_TABLE_POLL_VMS)
    en_vms_on_read (core, ev->u.table.error ? NULL : data);
  if (ev->u.table.error)
    return;
  switch (ev->u.table.purpose)
    {
    case EN_TABLE_POLL_CELLS:
      on_cell_rows (core, data);
      break;
    case EN_TABLE_POLL_JOBS:
      en_queued_jobs_on_rows (core, data);
      break;
    case EN_TABLE_REPAIR_CONFIG:
      en_poll_config (core);
      break;
    case EN_TABLE_SCAN_KEYS:
      en_key_cleanup_on_rows (core, data);
      break;
    case EN_TABLE_DELETE_KEYS:
    case EN_TABLE_POLL_CONFIG:
    case EN_TABLE_POLL_VMS:
    case EN_TABLE_REQUEST_STEP:
    case EN_TABLE_RECORD_END:
    case EN_TABLE_MARK_UNKNOWN:
      break;
    }
}
