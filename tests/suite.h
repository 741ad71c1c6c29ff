/* Runs a suite of CUnit tests as a program.  */
#ifndef TESTS_SUITE_H
#define TESTS_SUITE_H

#include <CUnit/Basic.h>
#include <stdlib.h>

/* Runs TESTS, ended by CU_TEST_INFO_NULL.  Returns the program's exit code. */
static inline int
run_suite (const char *name, const CU_TestInfo *tests)
{
  CU_pSuite suite;
  unsigned failures;

  if (CU_initialize_registry () != CUE_SUCCESS)
    return EXIT_FAILURE;
  suite = CU_add_suite (name, NULL, NULL);
  for (; tests->pName; tests++)
    CU_add_test (suite, tests->pName, tests->pTestFunc);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures ? EXIT_FAILURE : EXIT_SUCCESS;
}

#endif
