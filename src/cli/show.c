/* The commands "skr vms", "skr cells", "skr status" and "skr key".  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"
#include "skr/base.h"

static const char *const vm_names[]
    = { "id", "role", "state", "domain", "rack", "address", NULL };
static const char *const cell_names[]
    = { "cell", "holder", "epoch", "free", "queued", "running", NULL };

int
sk_show (struct sk_session *s, int argc, const char **argv)
{
  char *path = g_strconcat ("/v1/", argv[0], NULL);
  struct sk_reply r;

  (void)argc;
  r = sk_exchange (s, "GET", path, NULL, NULL, -1);
  g_free (path);
  if (r.exit != SK_OK)
    sk_print_error (&r);
  else if (s->set.json || !strcmp (argv[0], "status"))
    sk_print_json (r.body);
  else if (!strcmp (argv[0], "vms"))
    sk_print_table (json_object_get (r.body, "vms"), vm_names);
  else
    sk_print_table (json_object_get (r.body, "cells"), cell_names);
  sk_reply_fini (&r);
  return r.exit;
}

int
sk_key (struct sk_session *s, int argc, const char **argv)
{
  enum
  {
    KEY_BYTES = 24 /* random bytes of a client account's key */
  };
  char key[KEY_BYTES * 2 + 1], digest[BS_DIGEST_SIZE];

  (void)s;
  if (argc == 2 && !strcmp (argv[1], "new"))
    {
      bs_random_hex (key, KEY_BYTES);
      bs_digest (digest, key);
      printf ("key %s\nkey_digest %s\n", key, digest);
      return SK_OK;
    }
  if (argc == 3 && !strcmp (argv[1], "digest"))
    {
      bs_digest (digest, argv[2]);
      printf ("%s\n", digest);
      return SK_OK;
    }
  fprintf (stderr, "skr: usage: skr key new | digest KEY\n");
  return SK_USAGE;
}
