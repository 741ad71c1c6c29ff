/* The order of waiting requests.  By latest start alone it meets all
   objectives whenever that is possible.  It is changed only where it is
   expected to make a request late that is due to an account within its
   share.  */
#include "skr/share.h"

/* The expected wait is the work ahead over the capacity.  It is doubled, as
   work of higher rank that arrives later and fragments take capacity, too.  */
static const double wait_factor = 2;

enum
{
  LEAST_MARGIN_MS = 500, /* from the end of a run to the start of the next */
  MARGIN_PERCENT = 50    /* of the wait that the objective allows */
};

void
fs_add_work (struct fs_amount *sum, const struct fs_amount *work)
{
  for (int k = 0; k < FS_RESOURCES; k++)
    sum->of[k] += work->of[k];
}

static void
subtract_work (struct fs_amount *sum, const struct fs_amount *work)
{
  for (int k = 0; k < FS_RESOURCES; k++)
    sum->of[k] -= work->of[k];
}

/* The wait that R's objective allows.  */
static int64_t
allowed_wait_ms (const struct fs_request *r)
{
  return MAX (r->latest_start_ms - r->ready_ms, 0);
}

/* Expected wait of R behind the work in A and B.  The margin grows with what
   the objective allows: capacity becomes free in batches, as runs that began
   together end together, and a request that is moved ahead only at its latest
   start misses it.  */
static int64_t
expected_wait_ms (const struct fs_table *t, const struct fs_request *r,
                  const struct fs_amount *a, const struct fs_amount *b)
{
  struct fs_amount sum = *a;

  fs_add_work (&sum, b);
  return (int64_t)(fs_fleet_ms (t, &sum) * wait_factor)
         + MAX (allowed_wait_ms (r) * MARGIN_PERCENT / 100, LEAST_MARGIN_MS);
}

static int64_t
age_limit_ms (const struct fs_request *r)
{
  return CLAMP (2 * allowed_wait_ms (r), FS_AGE_MIN_MS, FS_AGE_MAX_MS);
}

/* State of one call of fs_order.  Requests that may be moved are kept in
   candidate[first..last-1], by latest start.  */
struct walk
{
  struct fs_table *t;
  struct fs_request *request;
  int64_t now;
  struct fs_amount kept, moved; /* work */
  int *candidate, first, last;
  int moved_count;
  int last_at_risk; /* moved requests follow this one */
  GArray *aged;     /* handles of accounts with an aged request */
};

/* Whether R goes in the order by latest start although its account is above
   its share.  At most one request of an account does in one call.  */
static int
goes_by_age (struct walk *w, const struct fs_request *r)
{
  const struct fs_account *a = fs_get (w->t, r->account);

  if (w->now - r->ready_ms < age_limit_ms (r) || w->now < a->next_aged_ms)
    return 0;
  for (guint i = 0; i < w->aged->len; i++)
    if (g_array_index (w->aged, int, i) == r->account)
      return 0;
  g_array_append_val (w->aged, r->account);
  return 1;
}

/* The next candidate to move, or -1: those that are late anyway, then those
   with the latest start furthest away.  */
static int
take_candidate (struct walk *w)
{
  if (w->first == w->last)
    return -1;
  if (w->request[w->candidate[w->first]].latest_start_ms < w->now)
    return w->candidate[w->first++];
  return w->candidate[--w->last];
}

/* Moves candidates behind request I, as many as it needs to be on time.  */
static void
protect (struct walk *w, int i)
{
  static const struct fs_amount none = { { 0 } };
  struct fs_request *r = &w->request[i];
  int64_t slack = r->latest_start_ms - w->now;
  int c;

  r->wait_ms = expected_wait_ms (w->t, r, &w->kept, &w->moved);
  if (slack >= r->wait_ms)
    return;
  while (slack < expected_wait_ms (w->t, r, &w->kept, &none)
         && (c = take_candidate (w)) >= 0)
    {
      subtract_work (&w->kept, &w->request[c].work);
      fs_add_work (&w->moved, &w->request[c].work);
      w->request[c].ahead = i;
      w->moved_count++;
    }
  if (!w->moved_count)
    return;
  r->is_at_risk = 1;
  w->last_at_risk = i;
}

static void
write_order (const struct walk *w, int n, int *order)
{
  int k = 0;

  for (int i = 0; i <= w->last_at_risk; i++)
    if (w->request[i].ahead < 0)
      order[k++] = i;
  for (int i = 0; i <= w->last_at_risk; i++)
    if (w->request[i].ahead >= 0)
      order[k++] = i;
  for (int i = w->last_at_risk + 1; i < n; i++)
    order[k++] = i;
}

int
fs_order (struct fs_table *t, struct fs_request *request, int n,
          const struct fs_amount *ahead, int64_t now, int *order)
{
  struct walk w = { .t = t,
                    .request = request,
                    .now = now,
                    .kept = *ahead,
                    .candidate = g_new (int, n + 1),
                    .last_at_risk = -1,
                    .aged = g_array_new (FALSE, FALSE, sizeof (int)) };

  for (int i = 0; i < n; i++)
    {
      struct fs_request *r = &request[i];
      int is_over = fs_get (t, r->account)->is_over;

      r->ahead = -1;
      r->is_at_risk = 0;
      r->wait_ms = 0;
      r->is_aged = is_over && goes_by_age (&w, r);
      if (is_over && !r->is_aged)
        w.candidate[w.last++] = i;
      else if (!is_over)
        protect (&w, i);
      fs_add_work (&w.kept, &r->work);
    }
  write_order (&w, n, order);
  g_array_free (w.aged, TRUE);
  g_free (w.candidate);
  return w.moved_count;
}
