/* The client accounts, from the configuration lists in force.  */
#include <string.h>

#include "entry/entry.h"

static struct fl_account *
find_or_add_account (struct en_core *core, const char *name)
{
  struct fl_env *env = &core->env;

  for (int i = 0; i < env->accounts; i++)
    if (!strcmp (env->account[i].name, name))
      return &env->account[i];
  if (env->accounts == core->account_capacity)
    {
      core->account_capacity
          = core->account_capacity ? core->account_capacity * 2 : 8;
      env->account
          = g_renew (struct fl_account, env->account, core->account_capacity);
    }
  env->account[env->accounts] = (struct fl_account){ .name = "" };
  g_strlcpy (env->account[env->accounts].name, name, PR_ID_SIZE);
  fl_limit_init (&env->account[env->accounts].limit, core->now_ms);
  return &env->account[env->accounts++];
}

static void
apply_account (void *arg, const struct cf_account *in)
{
  struct en_core *core = arg;
  struct fl_account *a = find_or_add_account (core, in->name);

  memcpy (a->key_digest, in->key_digest, sizeof a->key_digest);
  a->limit.calls_per_second = (int32_t)in->calls_per_second;
  a->max_queued_jobs = (int32_t)in->queued_jobs;
  a->limit.concurrent_calls = (int32_t)in->concurrent_calls;
}

/* Handles stay valid because requests in progress hold them.  An account that
   is no longer listed keeps its handle but has no key.  */
void
en_update_accounts (struct en_core *core)
{
  for (int i = 0; i < core->env.accounts; i++)
    memset (core->env.account[i].key_digest, 0, BS_DIGEST_SIZE);
  cf_foreach_account (&core->config, apply_account, core);
  for (int i = 0; i < core->env.accounts; i++)
    {
      struct fl_account *a = &core->env.account[i];

      a->home_count
          = cf_home_cells (&core->config, a->name, a->home, PR_MAX_CELLS);
    }
  en_update_limits (core);
}
