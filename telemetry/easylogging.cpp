// The installed library ships its implementation as a source file, which is
// compiled here once.
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#define ELPP_NO_DEFAULT_LOG_FILE
#include <easylogging++.cc>
