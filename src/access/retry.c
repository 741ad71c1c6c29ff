/* When refused callers should return.  */
#include "skr/access.h"

enum
{
  MS_PER_S = 1000,
  MIN_DELAY_MS = 1000,
  MAX_DELAY_MS = 5000,  /* before the spread: work gets late meanwhile */
  MAX_SPREAD_MS = 5000, /* beyond the delay */
  /* Callers that return to one VM each second: 37 VMs of a store with 1,200
     writes a second.  */
  RETURNS_PER_S = 30,
  PAUSE_MS = 10000 /* an outage is over after this long without a refusal */
};

/* Multiples of the golden ratio, modulo 1, are spread evenly whatever their
   number.  */
static const double golden_ratio = 0.6180339887498949;

/* A slot is overwritten when another caller falls on it, and that caller then
   counts as new.  */
static struct ac_caller *
find_slot (struct ac_access *a, uint64_t id)
{
  struct ac_caller *c = &a->caller[(id ^ id >> 32) % AC_CALLERS];

  if (c->id != id)
    *c = (struct ac_caller){ .id = id };
  return c;
}

static int64_t
longest_outage_ms (const struct ac_access *a, int64_t now)
{
  int64_t reads_ms = ac_outage_ms (a, AC_READS, now);
  int64_t writes_ms = ac_outage_ms (a, AC_WRITES, now);

  return reads_ms > writes_ms ? reads_ms : writes_ms;
}

/* A return that is too early costs one more refusal, a late one delays the
   work, hence half of the expected rest of the outage.  */
static int64_t
base_delay_ms (int64_t outage_ms)
{
  int64_t ms = outage_ms / 2;

  if (ms < MIN_DELAY_MS)
    return MIN_DELAY_MS;
  return ms < MAX_DELAY_MS ? ms : MAX_DELAY_MS;
}

static double
spread_ms (int refused)
{
  double ms = (double)refused * MS_PER_S / RETURNS_PER_S;

  return ms < MAX_SPREAD_MS ? ms : MAX_SPREAD_MS;
}

struct ac_refusal
ac_refuse (struct ac_access *a, uint64_t caller, int64_t now)
{
  struct ac_caller *c = find_slot (a, caller);
  struct ac_refusal r = { .outage_ms = longest_outage_ms (a, now) };
  double place;

  if (now - a->refused_at_ms > PAUSE_MS)
    a->refused = 0;
  if (now - c->at_ms > PAUSE_MS)
    c->times = 0;
  a->refused_at_ms = c->at_ms = now;
  r.refused = ++a->refused;
  r.times = c->times++;
  place = r.refused * golden_ratio;
  place -= (double)(int64_t)place;
  /* Callers that were refused before return in the first half, ahead of new
     ones.  */
  place = (place + (r.times ? 0 : 1)) / 2;
  r.retry_after_s
      = (int)((base_delay_ms (r.outage_ms) + place * spread_ms (r.refused))
              / MS_PER_S);
  return r;
}
