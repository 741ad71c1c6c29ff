#include <math.h>
#include <stdio.h>
#include <string.h>

#include "burn/burn.h"

enum
{
  MAX_LISTED_ACCOUNTS = 3 /* accounts that a report names */
};

/* Rounds X to two decimals, so that the output is the same on every
   machine.  */
static json_t *
json_rounded (double x)
{
  return json_real (round (x * 100) / 100);
}

/* The bad events of one account.  */
struct account_share
{
  const char *account;
  double bad;
};

static gint
compare_shares (gconstpointer a, gconstpointer b)
{
  const struct account_share *x = a, *y = b;

  if (x->bad != y->bad)
    return x->bad < y->bad ? 1 : -1;
  return strcmp (x->account, y->account);
}

static void
add_share (GArray *shares, const struct bn_step *s)
{
  struct account_share fresh = { s->account, s->bad };

  for (guint i = 0; i < shares->len; i++)
    {
      struct account_share *known
          = &g_array_index (shares, struct account_share, i);

      if (!strcmp (known->account, s->account))
        {
          known->bad += s->bad;
          return;
        }
    }
  g_array_append_val (shares, fresh);
}

/* Lists the accounts with the most bad events in (FROM_MS, TO_MS].  */
static json_t *
worst_accounts (const GArray *steps, int64_t from_ms, int64_t to_ms)
{
  GArray *shares = g_array_new (FALSE, FALSE, sizeof (struct account_share));
  json_t *list = json_array ();

  for (guint i = 0; i < steps->len; i++)
    {
      const struct bn_step *s = &g_array_index (steps, struct bn_step, i);

      if (s->at_ms > from_ms && s->at_ms <= to_ms && s->bad > 0)
        add_share (shares, s);
    }
  g_array_sort (shares, compare_shares);
  for (guint i = 0; i < shares->len && i < MAX_LISTED_ACCOUNTS; i++)
    {
      struct account_share *s
          = &g_array_index (shares, struct account_share, i);

      json_array_append_new (list,
                             json_pack ("{s:s,s:o}", "account", s->account,
                                        "bad", json_rounded (s->bad)));
    }
  g_array_free (shares, TRUE);
  return list;
}

/* Returns each part's account_share of the time in percent, and the largest
 * part.  */
static json_t *
time_shares (const struct bn_sum *sum)
{
  json_t *o = json_object ();
  double total = 0;
  int largest = 0;

  for (int p = 0; p < BN_TIME_PARTS; p++)
    {
      total += sum->part_us[p];
      if (sum->part_us[p] > sum->part_us[largest])
        largest = p;
    }
  for (int p = 0; p < BN_TIME_PARTS; p++)
    json_object_set_new (
        o, bn_time_part_names[p],
        json_rounded (total > 0 ? 100 * sum->part_us[p] / total : 0));
  json_object_set_new (o, "largest",
                       total > 0 && sum->bad > 0
                           ? json_string (bn_time_part_names[largest])
                           : json_null ());
  return o;
}

static json_t *
report_window (const GArray *steps, const struct bn_objective *o,
               const struct bn_window *w, int64_t to_ms, int *too_fast)
{
  struct bn_sum l = bn_sum_steps (steps, to_ms - w->long_ms, to_ms);
  struct bn_sum s = bn_sum_steps (steps, to_ms - w->short_ms, to_ms);
  double long_rate = bn_rate (&l, o->target);
  double short_rate = bn_rate (&s, o->target);
  int fast = long_rate > w->limit && short_rate > w->limit;

  *too_fast |= fast;
  return json_pack ("{s:s,s:o,s:o,s:o,s:b}", "window", w->name, "long_rate",
                    json_rounded (long_rate), "short_rate",
                    json_rounded (short_rate), "limit",
                    json_rounded (w->limit), "too_fast", fast);
}

static json_t *
report_objective (const struct bn_objectives *all,
                  const struct bn_objective *o, const GPtrArray *samples,
                  int64_t to_ms, int *too_fast)
{
  GArray *steps = bn_steps (samples, o);
  int64_t from_ms = to_ms - all->period_ms;
  struct bn_sum sum = bn_sum_steps (steps, from_ms, to_ms);
  double allowed_bad = (sum.good + sum.bad) * (1 - o->target);
  double left = allowed_bad > 0 ? 100 * (1 - sum.bad / allowed_bad) : 100;
  json_t *windows = json_array ();
  json_t *out;

  for (int i = 0; i < all->window_count; i++)
    json_array_append_new (
        windows, report_window (steps, o, &all->window[i], to_ms, too_fast));
  out = json_pack ("{s:s,s:o,s:o,s:o,s:o,s:o,s:o,s:o}", "objective", o->name,
                   "target_percent", json_rounded (100 * o->target), "good",
                   json_rounded (sum.good), "bad", json_rounded (sum.bad),
                   "budget_left_percent", json_rounded (left), "windows",
                   windows, "accounts", worst_accounts (steps, from_ms, to_ms),
                   "time_percent", time_shares (&sum));
  g_array_free (steps, TRUE);
  return out;
}

json_t *
bn_report (const struct bn_objectives *all, const GPtrArray *samples,
           int64_t to_ms, int *too_fast)
{
  json_t *list = json_array ();

  *too_fast = 0;
  for (int i = 0; i < all->objective_count; i++)
    json_array_append_new (list, report_objective (all, &all->objective[i],
                                                   samples, to_ms, too_fast));
  return json_pack ("{s:I,s:b,s:o}", "at_ms", (json_int_t)to_ms, "too_fast",
                    *too_fast, "objectives", list);
}

static double
real_field (const json_t *o, const char *field)
{
  return json_number_value (json_object_get (o, field));
}

static const char *
text_field (const json_t *o, const char *field)
{
  const char *s = json_string_value (json_object_get (o, field));

  return s ? s : "-";
}

static void
print_objective (const json_t *o)
{
  size_t i;
  json_t *e;

  printf ("%s: target %.2f %%, good %.0f, bad %.0f, budget left %.2f %%\n",
          text_field (o, "objective"), real_field (o, "target_percent"),
          real_field (o, "good"), real_field (o, "bad"),
          real_field (o, "budget_left_percent"));
  json_array_foreach (json_object_get (o, "windows"), i, e)
  {
    printf ("  %s: burn rate %.2f long, %.2f short, limit %.2f%s\n",
            text_field (e, "window"), real_field (e, "long_rate"),
            real_field (e, "short_rate"), real_field (e, "limit"),
            json_is_true (json_object_get (e, "too_fast")) ? " TOO FAST" : "");
  }
  json_array_foreach (json_object_get (o, "accounts"), i, e)
  {
    printf ("  burnt by %s: %.0f\n", text_field (e, "account"),
            real_field (e, "bad"));
  }
  e = json_object_get (o, "time_percent");
  printf ("  time: queue %.2f %%, store %.2f %%, upstream %.2f %%, "
          "reclaim %.2f %%; largest %s\n",
          real_field (e, "queue"), real_field (e, "store"),
          real_field (e, "upstream"), real_field (e, "reclaim"),
          text_field (e, "largest"));
}

void
bn_print (const json_t *report)
{
  size_t i;
  json_t *o;

  json_array_foreach (json_object_get (report, "objectives"), i, o)
  {
    print_objective (o);
  }
}
