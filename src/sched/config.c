/* The operators' lists, as the table has them.  */
#include "sched/sched.h"
#include "skr/log.h"

static void
scan (struct sched *s, const struct tb_scan *next)
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
    scan (s, &next);
}

static void
commit (struct sched *s, const struct tb_txn *txn)
{
  struct sc_event *e = sc_new_event (s, SC_REPAIR);

  if (tb_commit (s->tb, txn, sc_table_done, e))
    sc_free_event (e);
}

/* Lists in the table that are older than what is in force come from a
   restored table: the newer ones are written back.  */
static void
repair (struct sched *s)
{
  struct tb_txn txn;

  tb_txn_init (&txn);
  if (cf_repair (&s->config, &s->reader, &txn) == 1)
    commit (s, &txn);
  tb_txn_fini (&txn);
}

/* How domains are parted into cells is read, or written down when the table
   does not say it.  */
static void
part_domains (struct sched *s)
{
  struct tb_txn txn;

  if (!s->reader.heads)
    return;
  if (cf_learn_cells (&s->config, s->reader.heads))
    sc_fleet_changed (s);
  tb_txn_init (&txn);
  if (cf_seed_cells (&s->config, s->reader.heads,
                     (int)s->set->cells_per_domain, &txn))
    commit (s, &txn);
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
    case CF_END_MORE:
      scan (s, &next);
      return;
    case CF_END_NEW:
      log_applied (s);
      break;
    case CF_END_OLDER:
      repair (s);
      break;
    case CF_END_SAME:
    case CF_END_READ:
    case CF_END_FAILED:
      break;
    }
  part_domains (s);
  if (s->reader.again)
    sc_poll_config (s, s->now_ms);
}
