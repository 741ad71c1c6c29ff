/* Changes the configuration.  Each version adds its own queue and key and
   removes those of the previous version.  */
#include <stdio.h>
#include <string.h>

#include "tests/soak/soak.h"

enum
{
  NAME_SIZE = 40
};

void
so_change_config (struct soak *s)
{
  int64_t version = s->config.version + 1 + s->config.version % 3;
  char probe[NAME_SIZE], prefix[NAME_SIZE], key[NAME_SIZE];
  char *keys[] = { (char *)SO_PERMANENT_KEY, key };
  struct qu_queue queue[] = {
    { "desk", (char *)SO_HOST, "/desk/", "studio", 0, 3, 3, 2000, 0, 0 },
    { "night", (char *)SO_HOST, "/night/", "studio", 2, 3, 3, 20000, 0, 0 },
    { probe, (char *)SO_HOST, prefix, "studio", 2, 3, 3, 20000, 0, 0 },
  };
  struct qu_account account = { "a", keys, 2, 4 };
  struct qu_config config = { version, 3, 1, queue, &account };

  snprintf (probe, sizeof probe, "probe-%lld", (long long)version);
  snprintf (prefix, sizeof prefix, "/probe-%lld/", (long long)version);
  snprintf (key, sizeof key, "key-%lld", (long long)version);
  so_lock (s);
  s->config.changing = 1;
  so_unlock (s);
  sf_configure (&s->platform, &config);
  so_lock (s);
  s->config.changing = 0;
  s->config.previous = s->config.version;
  s->config.version = version;
  s->config.changed_ms = sf_now_ms ();
  so_unlock (s);
}

/* Checks VERSION, which a VM uses, against NEWEST, which was acknowledged at
   CHANGED_MS.  */
static void
check_seen_version (struct soak *s, const struct so_connection *c,
                    const struct so_exchange *x, int64_t version,
                    int64_t newest, int64_t changed_ms)
{
  struct so_vm *vm = &s->vm[c->vm];

  so_lock (s);
  if (c->incarnation == vm->incarnation && version < vm->seen_version
      && x->sent_ms > vm->seen_ms + SO_ROLLBACK_MS)
    bk_report_violation (&s->model, "vm%d went back from version %lld to %lld",
                         c->vm, (long long)vm->seen_version,
                         (long long)version);
  if (version < newest && x->sent_ms - changed_ms > SO_CONFIG_LAG_MS
      && so_is_undisturbed (s, c->vm, x->sent_ms))
    bk_report_violation (&s->model,
                         "vm%d holds version %lld, and %lld is %lld ms old",
                         c->vm, (long long)version, (long long)newest,
                         (long long)(x->sent_ms - changed_ms));
  if (c->incarnation == vm->incarnation && version > vm->seen_version)
    {
      vm->seen_version = version;
      vm->seen_ms = sf_now_ms ();
    }
  so_unlock (s);
}

/* Returns whether no change has started since NOW was read.  */
static int
is_unchanged (struct soak *s, const struct so_config *now)
{
  int still;

  so_lock (s);
  still = !s->config.changing && s->config.version == now->version;
  so_unlock (s);
  return still;
}

static void
check_queue (struct soak *s, struct so_connection *c,
             const struct so_config *now, int old)
{
  int64_t version = old ? now->previous : now->version;
  struct so_exchange x = { .method = "GET", .key = SO_PERMANENT_KEY };
  char path[SO_URL_SIZE];

  snprintf (path, sizeof path, "/probe-%lld/", (long long)version);
  x.path = path;
  so_exchange (s, c, &x);
  if (x.end != SO_ANSWERED)
    return;
  if (x.status == 200)
    check_seen_version (s, c, &x, version, now->version, now->changed_ms);
  else if (x.status == 404 && !old && is_unchanged (s, now))
    check_seen_version (s, c, &x, now->previous, now->version,
                        now->changed_ms);
}

static void
check_removed_key (struct soak *s, struct so_connection *c,
                   const struct so_config *now)
{
  struct so_exchange x = { .method = "GET", .path = "/desk/" };
  char key[NAME_SIZE];

  snprintf (key, sizeof key, "key-%lld", (long long)now->previous);
  x.key = key;
  so_exchange (s, c, &x);
  if (x.end == SO_ANSWERED && x.status == 200
      && x.sent_ms - now->changed_ms > SO_REVOKE_MS)
    bk_report_violation (&s->model,
                         "vm%d accepted a key that was removed %lld ms before",
                         c->vm, (long long)(x.sent_ms - now->changed_ms));
}

void
so_check_config (struct soak *s, struct so_connection *c, GRand *rand)
{
  struct so_config now;

  so_lock (s);
  now = s->config;
  c->incarnation = s->vm[c->vm].incarnation;
  so_unlock (s);
  if (g_rand_int_range (rand, 0, 3) == 0 && now.previous)
    check_removed_key (s, c, &now);
  else
    check_queue (s, c, &now, now.previous && g_rand_int_range (rand, 0, 2));
}
