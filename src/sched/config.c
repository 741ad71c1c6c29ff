/* Reads the operators' lists from the table and repairs an outdated table.  */
#include "sched/sched.h"
#include "skr/log.h"

static void
start_scan (struct sched *s, const struct tb_scan *next)
{
  struct sc_event *e = sc_new_event (s, SC_CONFIG);

  if (tb_scan (s->tb, next, sc_table_done, e))
    {
      e->error = TB_EDOWN;
      sc_push (s, e);
    }
}

void
sc_poll_config (void *sched, int64_t now_ms)
{
  struct sched *s = sched;
  struct tb_scan next;

  (void)now_ms;
  if (cf_read_begin (&s->reader, &next))
    start_scan (s, &next);
}

static void
submit_commit (struct sched *s, const struct tb_txn *txn)
{
  struct sc_event *e = sc_new_event (s, SC_REPAIR);

  if (tb_commit (s->tb, txn, sc_table_done, e))
    sc_free_event (e);
}

/* Lists in the table that are older than those in force mean that the table
   was restored to an older state; the newer lists are written back.  */
static void
repair_table (struct sched *s)
{
  struct tb_txn txn;

  tb_txn_init (&txn);
  if (cf_repair (&s->config, &s->reader, &txn) == 1)
    submit_commit (s, &txn);
  tb_txn_fini (&txn);
}

/* Reads the number of cells per failure domain from the table, or writes it
   when the table has none.  */
static void
update_cells_per_domain (struct sched *s)
{
  struct tb_txn txn;

  if (!s->reader.heads)
    return;
  if (cf_load_cells_per_domain (&s->config, s->reader.heads))
    sc_apply_fleet (s);
  tb_txn_init (&txn);
  if (cf_init_cells_per_domain (&s->config, s->reader.heads,
                                (int)s->settings->cells_per_domain, &txn))
    submit_commit (s, &txn);
  tb_txn_fini (&txn);
}

static void
log_applied (struct sched *s)
{
  struct lg_field field[]
      = { lg_int ("plans", cf_version (&s->config, CF_PLANS)),
          lg_int ("allowances", cf_version (&s->config, CF_ALLOWANCES)) };

  lg_log (LG_CONFIG_APPLIED, 2, field);
}

void
sc_config_done (struct sched *s, int error, json_t *data)
{
  struct tb_scan next;

  switch (cf_read_answer (&s->reader, &s->config, error, data, &next))
    {
    case CF_READ_MORE:
      start_scan (s, &next);
      return;
    case CF_READ_APPLIED:
      log_applied (s);
      break;
    case CF_READ_TABLE_OUTDATED:
      repair_table (s);
      break;
    case CF_READ_UNCHANGED:
    case CF_READ_FETCHED:
    case CF_READ_FAILED:
      break;
    }
  update_cells_per_domain (s);
  if (s->reader.repeat)
    sc_poll_config (s, s->now_ms);
}
