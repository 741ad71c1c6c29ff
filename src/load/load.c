#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "load.h"

enum
{
  MAX_IN_PROGRESS = 20000,
  CONNECTIONS_PER_HOST = 256,
  CONNECT_TIMEOUT_MS = 1000,
  LOOPBACK_NET = 127
};

int64_t
ld_now_ms (void)
{
  struct bs_clock clock = bs_clock_system ();

  return bs_now_ms (&clock);
}

int
ld_is_loopback (const char *address)
{
  char ip[INET_ADDRSTRLEN];
  const char *colon = strchr (address, ':');
  struct in_addr in;

  if (!colon || colon - address >= (long)sizeof ip)
    return 0;
  memcpy (ip, address, (size_t)(colon - address));
  ip[colon - address] = '\0';
  return inet_pton (AF_INET, ip, &in) == 1
         && ntohl (in.s_addr) >> 24 == LOOPBACK_NET;
}

static int
split_entries (struct ld *ld)
{
  ld->entries = g_strsplit (ld->settings.entries, ",", LD_MAX_ENTRIES);
  ld->entry_count = (int)g_strv_length (ld->entries);
  for (int i = 0; i < ld->entry_count; i++)
    if (!ld_is_loopback (ld->entries[i]))
      return LD_EINVAL;
  return ld->entry_count ? LD_OK : LD_EINVAL;
}

static int
split_accounts (struct ld *ld)
{
  char **list = g_strsplit (ld->settings.accounts, ",", LD_MAX_ACCOUNTS);
  int error = LD_OK;

  for (int i = 0; list[i] && error == LD_OK; i++)
    {
      char *equals = strchr (list[i], '=');

      if (!equals)
        {
          error = LD_EINVAL;
          break;
        }
      ld->accounts[i].name = g_strndup (list[i], (gsize)(equals - list[i]));
      ld->accounts[i].authorization
          = g_strdup_printf ("Authorization: Bearer %s", equals + 1);
      ld->account_count++;
    }
  g_strfreev (list);
  return ld->account_count ? error : LD_EINVAL;
}

static int
check_journals (const char *journals)
{
  char **list = g_strsplit (journals, ",", -1);
  int error = LD_OK;

  for (int i = 0; list[i]; i++)
    if (g_str_has_prefix (list[i], "http://")
        && !ld_is_loopback (list[i] + strlen ("http://")))
      error = LD_EINVAL;
  g_strfreev (list);
  return error;
}

int
ld_init (struct ld *ld, const struct ld_settings *settings)
{
  struct hc_config config
      = { MAX_IN_PROGRESS, CONNECTIONS_PER_HOST, CONNECT_TIMEOUT_MS, NULL };

  memset (ld, 0, sizeof *ld);
  ld->settings = *settings;
  pthread_mutex_init (&ld->lock, NULL);
  pthread_cond_init (&ld->ended, NULL);
  ld->requests = g_new0 (struct ld_request, settings->count);
  ld->rng = gsl_rng_alloc (gsl_rng_mt19937);
  gsl_rng_set (ld->rng, (unsigned long)settings->seed);
  if (split_entries (ld) != LD_OK || split_accounts (ld) != LD_OK
      || check_journals (settings->journals) != LD_OK)
    return LD_EINVAL;
  ld->client = hc_new (&config);
  return ld->client ? LD_OK : LD_EINVAL;
}

void
ld_fini (struct ld *ld)
{
  if (ld->client)
    hc_free (ld->client);
  for (int i = 0; i < ld->account_count; i++)
    {
      g_free (ld->accounts[i].name);
      g_free (ld->accounts[i].authorization);
    }
  g_strfreev (ld->entries);
  gsl_rng_free (ld->rng);
  g_free (ld->requests);
  pthread_cond_destroy (&ld->ended);
  pthread_mutex_destroy (&ld->lock);
}
