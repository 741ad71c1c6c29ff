/* What is read from the platform each second: configuration and cells.  */
#include <stdlib.h>
#include <string.h>

#include "entry/entry.h"

static const char *
string_of (const json_t *o, const char *field)
{
  const char *s = json_string_value (json_object_get (o, field));

  return s ? s : "";
}

int
en_poll_start (struct en_core *core, enum en_tag tag)
{
  if (core->polls & 1 << tag)
    return 0;
  core->polls |= 1 << tag;
  return 1;
}

/* A reading that is in progress may be older than the reason for this one: it
   is followed by another.  */
void
en_poll_config (struct en_core *core)
{
  struct tb_scan next;

  if (cf_read_begin (&core->reader, &next))
    en_scan (core, NULL, EN_TAG_POLL_CONFIG, &next);
}

/* The p95 of answered attempts, once there are enough of them.  */
static void
update_hedge (struct en_core *core)
{
  enum
  {
    MIN_SAMPLES = 20,
    FLOOR_MS = 20
  };
  int series = st_series (&core->stat, ST_HISTOGRAM, "skr_attempt_seconds",
                          "end=\"done\"");
  int64_t p95 = st_quantile_us (&core->stat, series, 0.95);

  core->hedge_ms = 0;
  if (st_value (&core->stat, series) >= MIN_SAMPLES)
    core->hedge_ms = MAX (p95 / 1000, FLOOR_MS);
}

void
en_poll (void *arg, int64_t now_ms)
{
  struct en_core *core = arg;

  (void)now_ms;
  if (!core->reader.busy)
    en_poll_config (core);
  en_vms_turn (core);
  if (en_poll_start (core, EN_TAG_POLL_CELLS))
    en_scan (core, NULL, EN_TAG_POLL_CELLS,
             &(struct tb_scan){ .table = "cells" });
  en_queued_poll (core);
  update_hedge (core);
}

/* A table that was set back to an older state is given the newer lists that
   are in force here.  */
static void
repair (struct en_core *core)
{
  struct tb_txn txn;

  tb_txn_init (&txn);
  if (cf_repair (&core->config, &core->reader, &txn)
      && en_poll_start (core, EN_TAG_REPAIR))
    en_commit (core, NULL, EN_TAG_REPAIR, &txn);
  tb_txn_fini (&txn);
}

static void
on_config (struct en_core *core, int error, const json_t *data)
{
  struct tb_scan next;

  switch (cf_read_answer (&core->reader, &core->config, error, data, &next))
    {
    case CF_END_MORE:
      en_scan (core, NULL, EN_TAG_POLL_CONFIG, &next);
      return;
    case CF_END_NEW:
      en_accounts (core);
      break;
    case CF_END_OLDER:
      repair (core);
      break;
    case CF_END_SAME:
    case CF_END_READ:
    case CF_END_FAILED:
      break;
    }
  if (cf_learn_cells (&core->config, core->reader.heads))
    {
      core->fleet.cells = 0; /* named as if each domain were one */
      en_vms_take_up (core);
    }
  if (core->reader.again)
    en_poll_config (core);
}

static int
compare_cells (const void *a, const void *b)
{
  return strcmp (((const struct fl_cell *)a)->cell,
                 ((const struct fl_cell *)b)->cell);
}

struct fl_cell *
en_cell_of (struct fl_fleet *f, const char *name)
{
  for (int i = 0; i < f->cells; i++)
    if (!strcmp (f->cell[i].cell, name))
      return &f->cell[i];
  if (!*name || f->cells == CF_MAX_CELLS)
    return NULL;
  f->cell[f->cells] = (struct fl_cell){ .free = -1 };
  g_strlcpy (f->cell[f->cells].cell, name, PR_ID);
  f->cells++;
  qsort (f->cell, (size_t)f->cells, sizeof *f->cell, compare_cells);
  return en_cell_of (f, name);
}

static void
on_cells (struct en_core *core, json_t *data)
{
  json_t *rows = json_object_get (data, "rows"), *row, *list = json_array ();
  size_t i;

  json_array_foreach (rows, i, row)
  {
    const char *name = string_of (row, "key");
    json_t *value = json_object_get (row, "value"), *o;
    struct fl_cell *c = en_cell_of (&core->fleet, name);

    if (!c || !value)
      continue;
    g_strlcpy (c->holder, string_of (value, "holder"), sizeof c->holder);
    if (json_is_integer (json_object_get (value, "free")))
      c->free = json_integer_value (json_object_get (value, "free"));
    o = json_copy (value);
    json_object_set_new (o, "cell", json_string (name));
    json_array_append_new (list, o);
  }
  json_decref (core->cells);
  core->cells = json_pack ("{s:o}", "cells", list);
}

void
en_polled (struct en_core *core, const struct en_event *ev)
{
  json_t *data = ev->u.table.data;

  core->polls &= ~(1 << ev->u.table.tag);
  if (ev->u.table.tag == EN_TAG_POLL_CONFIG)
    on_config (core, ev->u.table.error, data);
  if (ev->u.table.tag == EN_TAG_POLL_VMS)
    en_vms_read (core, ev->u.table.error ? NULL : data);
  if (ev->u.table.error)
    return;
  switch (ev->u.table.tag)
    {
    case EN_TAG_POLL_CELLS:
      on_cells (core, data);
      break;
    case EN_TAG_POLL_JOBS:
      en_queued_rows (core, data);
      break;
    case EN_TAG_REPAIR:
      en_poll_config (core);
      break;
    case EN_TAG_OLD:
      en_old_rows (core, data);
      break;
    case EN_TAG_OLD_GONE:
    case EN_TAG_POLL_CONFIG:
    case EN_TAG_POLL_VMS:
    case EN_TAG_STEP:
    case EN_TAG_RECORD:
    case EN_TAG_MARK:
      break;
    }
}
