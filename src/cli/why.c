/* "skr why ID FILE...": what the logs of all VMs tell of one request or job,
   in the order of their times.  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

enum
{
  LINE_SIZE = 16384 /* bytes; a log line is far shorter */
};

struct line
{
  int64_t at;
  int order; /* of reading, for equal times */
  json_t *event;
  const char *file;
};

/* A collector may have put its own words before the event.  */
static json_t *
read_event (const char *text)
{
  const char *start = strchr (text, '{');

  return start ? json_loads (start, 0, NULL) : NULL;
}

static int
names (const json_t *event, const char *id)
{
  const char *value = json_string_value (json_object_get (event, "id"));

  return value && !strcmp (value, id);
}

static int
read_file (GArray *out, const char *path, const char *id)
{
  FILE *file = strcmp (path, "-") != 0 ? fopen (path, "r") : stdin;
  char text[LINE_SIZE];

  if (!file)
    {
      fprintf (stderr, "skr: %s: can't be read\n", path);
      return SK_USAGE;
    }
  while (fgets (text, sizeof text, file))
    {
      struct line l = { .order = (int)out->len, .file = path };

      if (!strstr (text, id))
        continue;
      l.event = read_event (text);
      l.at = json_integer_value (json_object_get (l.event, "at"));
      if (names (l.event, id))
        g_array_append_val (out, l);
      else
        json_decref (l.event);
    }
  if (file != stdin)
    fclose (file);
  return SK_OK;
}

static int
by_time (const void *a, const void *b)
{
  const struct line *x = a, *y = b;

  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->order - y->order;
}

static int
is_head (const char *name)
{
  return !strcmp (name, "at") || !strcmp (name, "program")
         || !strcmp (name, "event") || !strcmp (name, "name")
         || !strcmp (name, "id");
}

static void
print_line (const struct line *l, int64_t first)
{
  const char *name;
  json_t *value;

  printf ("%+9.3f s  %-18s", (double)(l->at - first) / 1000,
          json_string_value (json_object_get (l->event, "name")));
  json_object_foreach (l->event, name, value)
  {
    if (is_head (name))
      continue;
    if (json_is_string (value))
      printf (" %s=%s", name, json_string_value (value));
    else
      printf (" %s=%lld", name, (long long)json_integer_value (value));
  }
  printf ("  (%s)\n", l->file);
}

int
sk_why (struct sk_session *s, int argc, const char **argv)
{
  GArray *lines;
  int error = SK_OK;

  (void)s;
  if (argc < 3)
    {
      fprintf (stderr, "usage: skr why ID FILE...\n");
      return SK_USAGE;
    }
  lines = g_array_new (FALSE, FALSE, sizeof (struct line));
  for (int i = 2; i < argc && !error; i++)
    error = read_file (lines, argv[i], argv[1]);
  g_array_sort (lines, by_time);
  for (guint i = 0; i < lines->len; i++)
    {
      struct line *l = &g_array_index (lines, struct line, i);

      print_line (l, g_array_index (lines, struct line, 0).at);
    }
  for (guint i = 0; i < lines->len; i++)
    json_decref (g_array_index (lines, struct line, i).event);
  if (!error && !lines->len)
    error = SK_NOT_FOUND;
  g_array_free (lines, TRUE);
  return error;
}
