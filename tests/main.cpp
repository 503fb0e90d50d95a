#include <csignal>

#include <gtest/gtest.h>

/// Runs every test. A peer that closes early must give an error and no
/// signal, as in the daemons.
int main(int argc, char** argv)
{
  signal(SIGPIPE, SIG_IGN);
  ::testing::InitGoogleTest(&argc, argv);
  return RUN_ALL_TESTS();
}
