// Entry point that all unit test programs share.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
