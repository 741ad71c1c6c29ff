/* The command "skr why ID FILE...", which prints the log events of one request
   or job from the logs of several VMs, sorted by time.  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "cli/cli.h"

enum
{
  LINE_SIZE = 16384 /* bytes, far above the length of a log line */
};

struct log_line
{
  int64_t at_ms; /* ms, from the event */
  int order;     /* in which the lines were read; sorts equal times */
  json_t *event;
  const char *file;
};

/* Parses the event of a log line.  A log collector may have added a prefix
   before the JSON object.  */
static json_t *
read_event (const char *text)
{
  const char *start = strchr (text, '{');

  return start ? json_loads (start, 0, NULL) : NULL;
}

static int
has_id (const json_t *event, const char *id)
{
  const char *value = json_string_value (json_object_get (event, "id"));

  return value && !strcmp (value, id);
}

static int
read_log (GArray *out, const char *path, const char *id)
{
  FILE *file = strcmp (path, "-") != 0 ? fopen (path, "r") : stdin;
  char text[LINE_SIZE];

  if (!file)
    {
      fprintf (stderr, "skr: %s: cannot open the file\n", path);
      return SK_USAGE;
    }
  while (fgets (text, sizeof text, file))
    {
      struct log_line l = { .order = (int)out->len, .file = path };

      if (!strstr (text, id))
        continue;
      l.event = read_event (text);
      l.at_ms = json_integer_value (json_object_get (l.event, "at"));
      if (has_id (l.event, id))
        g_array_append_val (out, l);
      else
        json_decref (l.event);
    }
  if (file != stdin)
    fclose (file);
  return SK_OK;
}

static int
compare_lines (const void *a, const void *b)
{
  const struct log_line *x = a, *y = b;

  if (x->at_ms != y->at_ms)
    return x->at_ms < y->at_ms ? -1 : 1;
  return x->order - y->order;
}

static int
is_header_field (const char *name)
{
  return !strcmp (name, "at") || !strcmp (name, "program")
         || !strcmp (name, "event") || !strcmp (name, "name")
         || !strcmp (name, "id");
}

static const char *
text_of (const json_t *event, const char *name)
{
  const char *text = json_string_value (json_object_get (event, name));

  return text ? text : "";
}

static double
number_of (const json_t *event, const char *name)
{
  return (double)json_integer_value (json_object_get (event, name));
}

/* Says in words which account was ahead of the job and why.  */
static void
explain_passed_over (const json_t *event)
{
  printf ("             account %s uses %.1f %% of the fleet and is entitled "
          "to %.1f %%;\n             %s of account %s (%.1f %% of %.1f %%) "
          "was ahead: it had to start within %.1f s,\n             and "
          "behind this job would have waited about %.1f s\n",
          text_of (event, "account"), number_of (event, "share_permille") / 10,
          number_of (event, "entitled_permille") / 10,
          text_of (event, "ahead"), text_of (event, "ahead_account"),
          number_of (event, "ahead_share_permille") / 10,
          number_of (event, "ahead_entitled_permille") / 10,
          number_of (event, "ahead_slack_ms") / 1000,
          number_of (event, "ahead_wait_ms") / 1000);
}

static void
print_line (const struct log_line *l, int64_t start_ms)
{
  const char *name;
  json_t *value;

  printf ("%+9.3f s  %-18s", (double)(l->at_ms - start_ms) / 1000,
          json_string_value (json_object_get (l->event, "name")));
  json_object_foreach (l->event, name, value)
  {
    if (is_header_field (name))
      continue;
    if (json_is_string (value))
      printf (" %s=%s", name, json_string_value (value));
    else
      printf (" %s=%lld", name, (long long)json_integer_value (value));
  }
  printf ("  (%s)\n", l->file);
  if (!strcmp (text_of (l->event, "name"), "passed-over"))
    explain_passed_over (l->event);
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
  lines = g_array_new (FALSE, FALSE, sizeof (struct log_line));
  for (int i = 2; i < argc && !error; i++)
    error = read_log (lines, argv[i], argv[1]);
  g_array_sort (lines, compare_lines);
  for (guint i = 0; i < lines->len; i++)
    {
      struct log_line *l = &g_array_index (lines, struct log_line, i);

      print_line (l, g_array_index (lines, struct log_line, 0).at_ms);
    }
  for (guint i = 0; i < lines->len; i++)
    json_decref (g_array_index (lines, struct log_line, i).event);
  if (!error && !lines->len)
    error = SK_NOT_FOUND;
  g_array_free (lines, TRUE);
  return error;
}
