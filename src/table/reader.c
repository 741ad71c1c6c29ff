/* Decides which daemon reads the VM list, and when.  */
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "table/vms_impl.h"

static uint64_t
weight (const struct vl_follow *f, const char *vm)
{
  char text[2 * PR_ID_SIZE + 2];
  int size = snprintf (text, sizeof text, "%s/%s", f->domain, vm);

  return XXH3_64bits (text, (size_t)size);
}

int
vl_precedes (const struct vl_follow *f, const char *a, const char *b)
{
  uint64_t x = weight (f, a), y = weight (f, b);

  return x != y ? x > y : strcmp (a, b) < 0;
}

int64_t
vl_jitter (const struct vl_follow *f, int64_t span)
{
  char text[PR_ID_SIZE + 32];
  int size = snprintf (text, sizeof text, "%s %lld %lld", f->vm,
                       (long long)f->incarnation, (long long)f->serial);

  return (int64_t)(XXH3_64bits (text, (size_t)size) % (uint64_t)span);
}

struct vl_peer *
vl_find_peer (struct vl_follow *f, const char *vm)
{
  for (int i = 0; i < f->peers; i++)
    if (!strcmp (f->peer[i].vm, vm))
      return &f->peer[i];
  return NULL;
}

static struct vl_peer *
add_peer (struct vl_follow *f, int64_t now_ms, const char *vm)
{
  struct vl_peer *p = NULL;

  for (int i = 0; i < f->peers && !p; i++)
    if (now_ms - f->peer[i].heard_ms >= VL_PEER_TIMEOUT_MS)
      p = &f->peer[i];
  if (!p && f->peers < VL_MAX_PEERS)
    p = &f->peer[f->peers++];
  if (!p)
    return NULL;
  *p = (struct vl_peer){ .incarnation = -1 };
  g_strlcpy (p->vm, vm, sizeof p->vm);
  return p;
}

void
vl_on_heartbeat (struct vl_follow *f, int64_t now_ms,
                 const struct pr_heartbeat *h)
{
  struct vl_peer *p;

  if (h->role != PR_ENTRY || strcmp (h->domain, f->domain) != 0
      || !strcmp (h->vm, f->vm))
    return;
  p = vl_find_peer (f, h->vm);
  if (!p)
    p = add_peer (f, now_ms, h->vm);
  if (!p)
    return;
  p->leaving = h->leaving;
  p->heard_ms = now_ms;
}

/* Returns the number of live entry VMs that precede this daemon as reader.  */
static int
rank (const struct vl_follow *f, int64_t now_ms)
{
  int n = 0;

  for (int i = 0; i < f->peers; i++)
    if (!f->peer[i].leaving
        && now_ms - f->peer[i].heard_ms < VL_PEER_TIMEOUT_MS
        && (!f->may_publish || vl_precedes (f, f->peer[i].vm, f->vm)))
      n++;
  return n;
}

int
vl_reader_is_silent (const struct vl_follow *f, int64_t now_ms)
{
  int n = rank (f, now_ms);

  return n == 0 || f->reader_heard_ms < 0
         || now_ms - f->reader_heard_ms
                >= VL_READER_TIMEOUT_MS
                       + (n < VL_MAX_RANK_DELAYS ? n : VL_MAX_RANK_DELAYS)
                             * VL_RANK_DELAY_MS;
}

static int
has_diverged (const struct vl_follow *f, int64_t now_ms)
{
  return f->diverged_since_ms >= 0
         && now_ms - f->diverged_since_ms
                >= VL_DIVERGENCE_LIMIT_MS
                       + vl_jitter (f, VL_DIVERGENCE_JITTER_MS);
}

int
vl_read_is_due (const struct vl_follow *f, int64_t now_ms, int is_turn)
{
  int64_t since = now_ms - f->read_started_ms;

  if (f->reading)
    return 0;
  if (f->read_started_ms >= 0
      && since < (is_turn ? VL_READ_INTERVAL_MS / 2 : VL_READ_INTERVAL_MS))
    return 0;
  if (f->read_ms < 0 || now_ms >= f->forced_read_ms
      || has_diverged (f, now_ms))
    return 1;
  if (rank (f, now_ms) == 0)
    return is_turn || since >= VL_READER_TIMEOUT_MS;
  return vl_reader_is_silent (f, now_ms);
}

void
vl_begin_read (struct vl_follow *f, int64_t now_ms)
{
  f->reading = 1;
  f->read_started_ms = now_ms;
  f->publishing = f->may_publish && vl_reader_is_silent (f, now_ms);
}
