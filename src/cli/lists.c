/* The commands "skr plans" and "skr allowances", each with "get", "put FILE"
   and "diff FILE".  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

static int
usage (void)
{
  fprintf (stderr, "skr: usage: skr plans|allowances get | put FILE | diff "
                   "FILE\n     FILE has the same format as get prints\n");
  return SK_USAGE;
}

static const char *
entry_name (const json_t *entry)
{
  const char *s = json_string_value (json_object_get (entry, "account"));

  if (!s)
    s = json_string_value (json_object_get (entry, "plan"));
  return s ? s : "?";
}

static const json_t *
find_entry (const json_t *list, const char *name)
{
  size_t i;
  json_t *e;

  json_array_foreach (list, i, e)
  {
    if (!strcmp (entry_name (e), name))
      return e;
  }
  return NULL;
}

static void
print_entry (char sign, const json_t *entry)
{
  char *text = json_dumps (entry, JSON_COMPACT | JSON_SORT_KEYS);

  printf ("%c %s\n", sign, text ? text : "?");
  free (text);
}

/* Prints the entries that differ between BEFORE and AFTER and returns how
   many lines were printed.  */
static int
print_diff (const json_t *before, const json_t *after)
{
  size_t i;
  json_t *e;
  int differences = 0;

  json_array_foreach (before, i, e)
  {
    const json_t *counterpart = find_entry (after, entry_name (e));

    if (counterpart && json_equal (e, counterpart))
      continue;
    print_entry ('-', e);
    differences++;
  }
  json_array_foreach (after, i, e)
  {
    const json_t *counterpart = find_entry (before, entry_name (e));

    if (counterpart && json_equal (e, counterpart))
      continue;
    print_entry ('+', e);
    differences++;
  }
  return differences;
}

static int
get (struct sk_session *s, const char *path)
{
  struct sk_reply r = sk_exchange (s, "GET", path, NULL, NULL, -1);

  if (r.exit == SK_OK)
    sk_print_json (r.body);
  else
    sk_print_error (&r);
  sk_reply_fini (&r);
  return r.exit;
}

/* The conflict of a repeat may come from the first try.  Whether that was
   accepted shows in the list in force, if it is of the next version.  */
static void
judge_conflict (struct sk_reply *r, const json_t *list, json_int_t version)
{
  json_t *current = json_object_get (r->body, "current");
  json_int_t in_force
      = json_integer_value (json_object_get (current, "version"));

  if (in_force > version + 1)
    r->exit = SK_UNKNOWN;
  if (in_force == version + 1
      && json_equal (json_object_get (current, "list"), list))
    {
      json_object_set (r->body, "version",
                       json_object_get (current, "version"));
      r->exit = SK_OK;
    }
}

/* Replaces the list at PATH by that of FILE.  On a version conflict, prints
   the differences between the list in force and that of FILE.  */
static int
put (struct sk_session *s, const char *path, const json_t *file)
{
  json_t *list = json_object_get (file, "list");
  json_t *version = json_object_get (file, "version");
  struct sk_reply r;

  if (!json_is_array (list) || !json_is_integer (version))
    return usage ();
  r = sk_exchange (s, "PUT", path, list, NULL, json_integer_value (version));
  if (r.exit == SK_CONFLICT && r.is_repeat)
    judge_conflict (&r, list, json_integer_value (version));
  if (r.exit == SK_OK)
    printf (
        "accepted as version %lld\n",
        (long long)json_integer_value (json_object_get (r.body, "version")));
  else
    sk_print_error (&r);
  if (r.exit != SK_OK && json_object_get (r.body, "current"))
    print_diff (json_object_get (json_object_get (r.body, "current"), "list"),
                list);
  sk_reply_fini (&r);
  return r.exit;
}

static int
diff (struct sk_session *s, const char *path, const json_t *file)
{
  struct sk_reply r = sk_exchange (s, "GET", path, NULL, NULL, -1);
  int code = r.exit;

  if (r.exit != SK_OK)
    sk_print_error (&r);
  else if (print_diff (json_object_get (r.body, "list"),
                       json_object_get (file, "list")))
    code = SK_FAILED;
  sk_reply_fini (&r);
  return code;
}

int
sk_lists (struct sk_session *s, int argc, const char **argv)
{
  char *path = g_strconcat ("/v1/", argv[0], NULL);
  json_t *file = NULL;
  int code = SK_USAGE;

  if (argc == 3)
    file = sk_read_file (argv[2]);
  if (argc == 2 && !strcmp (argv[1], "get"))
    code = get (s, path);
  else if (file && !strcmp (argv[1], "put"))
    code = put (s, path, file);
  else if (file && !strcmp (argv[1], "diff"))
    code = diff (s, path, file);
  else
    usage ();
  json_decref (file);
  g_free (path);
  return code;
}
