#include <stdlib.h>
#include <string.h>

#include "gangs.h"
#include "payload.h"

static void
gang_free (void *arg)
{
  struct sw_gang *gang = arg;

  g_free (gang->cell);
  g_free (gang->job);
  json_decref (gang->tasks);
  json_decref (gang->payload);
  g_free (gang);
}

void
sw_gangs_init (struct sw_gangs *gangs, struct sw_journal *journal)
{
  memset (gangs, 0, sizeof *gangs);
  gangs->journal = journal;
  gangs->list = g_ptr_array_new_with_free_func (gang_free);
  gangs->epochs
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
sw_gangs_fini (struct sw_gangs *gangs)
{
  g_ptr_array_free (gangs->list, TRUE);
  g_hash_table_destroy (gangs->epochs);
}

int64_t
sw_highest_epoch (const struct sw_gangs *gangs, const char *cell)
{
  const int64_t *seen = g_hash_table_lookup (gangs->epochs, cell);

  return seen ? *seen : 0;
}

int
sw_observe_epoch (struct sw_gangs *gangs, const char *cell, int64_t epoch)
{
  if (epoch < sw_highest_epoch (gangs, cell))
    return SW_EEPOCH;
  g_hash_table_replace (gangs->epochs, g_strdup (cell),
                        g_memdup2 (&epoch, sizeof epoch));
  return SW_OK;
}

struct sw_gang *
sw_find_gang (const struct sw_gangs *gangs, const char *job, int64_t attempt)
{
  for (guint i = 0; i < gangs->list->len; i++)
    {
      struct sw_gang *gang = g_ptr_array_index (gangs->list, i);

      if (gang->attempt == attempt && !strcmp (gang->job, job))
        return gang;
    }
  return NULL;
}

static int
is_active (const struct sw_gang *gang)
{
  return gang->state <= SW_CHECKPOINTING;
}

int
sw_slots_used (const struct sw_gangs *gangs)
{
  int used = gangs->calls;

  for (guint i = 0; i < gangs->list->len; i++)
    {
      const struct sw_gang *gang = g_ptr_array_index (gangs->list, i);

      if (is_active (gang))
        used += gang->slots;
    }
  return used;
}

uint64_t
sw_accelerators_used (const struct sw_gangs *gangs)
{
  uint64_t used = 0;

  for (guint i = 0; i < gangs->list->len; i++)
    {
      const struct sw_gang *gang = g_ptr_array_index (gangs->list, i);

      if (is_active (gang))
        used |= gang->accelerators;
    }
  return used;
}

int
sw_count_active (const struct sw_gangs *gangs, int *ended)
{
  int active = 0;

  for (guint i = 0; i < gangs->list->len; i++)
    active += is_active (g_ptr_array_index (gangs->list, i));
  *ended = (int)gangs->list->len - active;
  return active;
}

/* Adds the accelerators or the slot of one task to GANG.  An accelerator that
   is named twice is an error.  */
static int
reserve_task (const struct sw_gangs *gangs, struct sw_gang *gang, json_t *task)
{
  json_t *list, *number;
  json_int_t id;
  size_t i;

  if (json_unpack (task, "{s:I, s:o}", "task", &id, "accelerators", &list))
    return SW_EINVAL;
  json_array_foreach (list, i, number)
  {
    json_int_t n = json_integer_value (number);

    if (n < 0 || n >= gangs->accelerators
        || (gang->accelerators >> n & 1) == 1)
      return SW_EINVAL;
    gang->accelerators |= (uint64_t)1 << n;
  }
  gang->slots += json_array_size (list) == 0;
  return SW_OK;
}

/* Fills GANG from ORDER.  */
static int
parse_order (const struct sw_gangs *gangs, struct sw_gang *gang, json_t *order,
             int64_t now_ms)
{
  const char *cell, *job;
  json_int_t lease_ms, run_ms = 0, progress_ms = 0;
  json_t *task, *payload = NULL, *fails = NULL;
  struct sw_fake fake;
  size_t i;

  if (json_unpack (order, "{s:s, s:s, s:I, s:o, s:I, s?I, s?I, s?o, s?o}",
                   "cell", &cell, "job", &job, "attempt", &gang->attempt,
                   "tasks", &gang->tasks, "lease_ms", &lease_ms, "run_ms",
                   &run_ms, "progress_ms", &progress_ms, "payload", &payload,
                   "fails", &fails))
    {
      gang->tasks = NULL;
      return SW_EINVAL;
    }
  json_incref (gang->tasks);
  gang->payload = payload ? json_incref (payload) : NULL;
  gang->cell = g_strdup (cell);
  gang->job = g_strdup (job);
  sw_fake_parse (&fake, payload, run_ms);
  gang->run_ms = fake.run_ms;
  gang->crashes = fake.crashes;
  gang->fails = fake.fails || json_is_true (fails);
  gang->progress_ms = (double)progress_ms;
  gang->percent = 100;
  gang->lease_end_ms = now_ms + lease_ms;
  json_array_foreach (gang->tasks, i, task)
  {
    if (reserve_task (gangs, gang, task) != SW_OK)
      return SW_EINVAL;
  }
  return json_array_size (gang->tasks) ? SW_OK : SW_EINVAL;
}

int
sw_reserve (struct sw_gangs *gangs, json_t *order, int64_t now_ms,
            struct sw_gang **out)
{
  struct sw_gang *gang = g_new0 (struct sw_gang, 1);
  int error = parse_order (gangs, gang, order, now_ms);

  if (error == SW_OK)
    *out = sw_find_gang (gangs, gang->job, gang->attempt);
  if (error == SW_OK && *out)
    {
      gang_free (gang);
      return SW_OK;
    }
  if (error == SW_OK
      && ((sw_accelerators_used (gangs) & gang->accelerators) != 0
          || (gang->slots
              && sw_slots_used (gangs) + gang->slots > gangs->slots)))
    error = SW_EBUSY;
  if (error != SW_OK)
    {
      gang_free (gang);
      return error;
    }
  g_ptr_array_add (gangs->list, gang);
  *out = gang;
  return SW_OK;
}

void
sw_start (struct sw_gangs *gangs, struct sw_gang *gang)
{
  json_t *task;
  size_t i;

  if (gang->state != SW_HELD)
    return;
  gang->state = SW_RUNNING;
  json_array_foreach (gang->tasks, i, task)
  {
    json_t *entry = json_pack ("{s:s, s:s, s:I, s:O}", "kind", "task", "id",
                               gang->job, "attempt", (json_int_t)gang->attempt,
                               "task", json_object_get (task, "task"));
    unsigned number;

    sw_fake_label (entry, gang->payload);
    number = sw_journal_start (gangs->journal, entry);
    if (i == 0)
      gang->first_journal_entry = number;
  }
}

static void
end_gang (struct sw_gangs *gangs, struct sw_gang *gang, enum sw_state state)
{
  int ran = gang->state != SW_HELD;

  gang->state = state;
  for (size_t i = 0; ran && i < json_array_size (gang->tasks); i++)
    sw_journal_end (gangs->journal, gang->first_journal_entry + (unsigned)i,
                    sw_state_name (gang));
}

void
sw_checkpoint (struct sw_gangs *gangs, struct sw_gang *gang, int64_t now_ms)
{
  if (gang->state == SW_HELD)
    end_gang (gangs, gang, SW_CHECKPOINTED);
  else if (gang->state == SW_RUNNING)
    {
      gang->state = SW_CHECKPOINTING;
      gang->checkpointed_ms = now_ms + gangs->checkpoint_ms;
    }
}

void
sw_stop (struct sw_gangs *gangs, struct sw_gang *gang)
{
  if (is_active (gang))
    end_gang (gangs, gang, SW_STOPPED);
}

void
sw_acknowledge (struct sw_gangs *gangs, struct sw_gang *gang)
{
  if (!is_active (gang))
    g_ptr_array_remove (gangs->list, gang);
}

int
sw_renew (struct sw_gangs *gangs, const char *cell, int64_t until_ms)
{
  int renewed = 0;

  for (guint i = 0; i < gangs->list->len; i++)
    {
      struct sw_gang *gang = g_ptr_array_index (gangs->list, i);

      if (strcmp (gang->cell, cell) != 0 || !is_active (gang))
        continue;
      gang->lease_end_ms = until_ms;
      renewed++;
    }
  return renewed;
}

static void
advance_gang (struct sw_gangs *gangs, struct sw_gang *gang, int64_t now_ms)
{
  if (gang->crashes)
    abort ();
  gang->progress_ms
      += (double)(now_ms - gangs->ticked_ms) * (double)gang->percent / 100;
  if (gangs->fail_all)
    end_gang (gangs, gang, SW_FAILED);
  else if (!gangs->hold && gang->progress_ms >= (double)gang->run_ms)
    {
      gang->progress_ms = (double)gang->run_ms;
      end_gang (gangs, gang, gang->fails ? SW_FAILED : SW_DONE);
    }
}

static void
tick_gang (struct sw_gangs *gangs, struct sw_gang *gang, int64_t now_ms)
{
  switch (gang->state)
    {
    case SW_HELD:
      if (now_ms >= gang->lease_end_ms)
        end_gang (gangs, gang, SW_STOPPED);
      break;
    case SW_RUNNING:
      advance_gang (gangs, gang, now_ms);
      if (gang->state == SW_RUNNING && now_ms >= gang->lease_end_ms)
        sw_checkpoint (gangs, gang, now_ms);
      break;
    case SW_CHECKPOINTING:
      if (now_ms >= gang->checkpointed_ms)
        end_gang (gangs, gang, SW_CHECKPOINTED);
      break;
    case SW_DONE:
    case SW_FAILED:
    case SW_CHECKPOINTED:
    case SW_STOPPED:
      break;
    }
}

void
sw_gangs_tick (struct sw_gangs *gangs, int64_t now_ms, int frozen)
{
  for (guint i = 0; !frozen && i < gangs->list->len; i++)
    tick_gang (gangs, g_ptr_array_index (gangs->list, i), now_ms);
  gangs->ticked_ms = now_ms;
}

const char *
sw_state_name (const struct sw_gang *gang)
{
  switch (gang->state)
    {
    case SW_HELD:
      return "held";
    case SW_RUNNING:
    case SW_CHECKPOINTING:
      return "running";
    case SW_DONE:
      return "done";
    case SW_FAILED:
      return "failed";
    case SW_CHECKPOINTED:
      return "checkpointed";
    case SW_STOPPED:
      return "stopped";
    }
  return "?";
}

void
sw_describe_tasks (const struct sw_gang *gang, json_t *list)
{
  json_t *task;
  size_t i;

  json_array_foreach (gang->tasks, i, task)
  {
    json_t *o = json_pack (
        "{s:s, s:I, s:O, s:O, s:s, s:I}", "job", gang->job, "attempt",
        (json_int_t)gang->attempt, "task", json_object_get (task, "task"),
        "accelerators", json_object_get (task, "accelerators"), "state",
        sw_state_name (gang), "progress_ms", (json_int_t)gang->progress_ms);

    if (gang->state == SW_DONE)
      json_object_set_new (
          o, "result", sw_fake_answer (gang->payload, "job", gang->job, NULL));
    json_array_append_new (list, o);
  }
}
