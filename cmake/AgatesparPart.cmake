# Functions that define a library, a tool or a test program from the sources of a folder.

# Applies the warnings and sanitizers that every target of the project shares.
function(agatespar_set_options target)
  target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion
                                           -Wnon-virtual-dtor -Woverloaded-virtual -Werror)
  if(AGATESPAR_SANITIZE)
    # GCC 12 wrongly reports uninitialized values in its own <regex> with the sanitizers (GCC bug 105562).
    target_compile_options(${target} PRIVATE -Wno-maybe-uninitialized)
    target_compile_options(${target} PRIVATE -fsanitize=address,undefined -fno-sanitize-recover=all
                                             -fno-omit-frame-pointer)
    target_link_options(${target} PRIVATE -fsanitize=address,undefined)
  endif()
endfunction()

# Adds the library agatespar_<part> from lib/<part>, with its headers in include/agatespar/<part>.
function(agatespar_add_part part)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/lib/${part}/*.cpp)
  set(target agatespar_${part})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC ${CMAKE_SOURCE_DIR}/include)
    target_include_directories(${target} PRIVATE ${CMAKE_SOURCE_DIR}/lib/${part})
    target_compile_definitions(${target} PUBLIC BOOST_LOG_DYN_LINK MSGPACK_DEFAULT_API_VERSION=3)
    target_link_libraries(${target} PUBLIC ${ARGN})
    agatespar_set_options(${target})
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE ${CMAKE_SOURCE_DIR}/include)
    target_compile_definitions(${target} INTERFACE BOOST_LOG_DYN_LINK MSGPACK_DEFAULT_API_VERSION=3)
    target_link_libraries(${target} INTERFACE ${ARGN})
  endif()
endfunction()

# Adds the program <name> from the sources in the current folder.
function(agatespar_add_tool name)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  agatespar_set_options(${name})
endfunction()

# Adds the unit tests of a part from unittests/<part> as one Catch2 program and one ctest case.
function(agatespar_add_unittests part)
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/unittests/${part}/*.cpp)
  if(NOT sources)
    return()
  endif()
  add_executable(unittest_${part} ${sources})
  target_link_libraries(unittest_${part} PRIVATE agatespar_catch_main agatespar_${part} ${ARGN})
  target_include_directories(unittest_${part} PRIVATE ${CMAKE_SOURCE_DIR}/unittests)
  set_target_properties(unittest_${part} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
  agatespar_set_options(unittest_${part})
  add_test(NAME unit.${part} COMMAND unittest_${part} "~[scale]~[scale-faults]")
  set_tests_properties(unit.${part} PROPERTIES LABELS unit)
endfunction()

# Adds the scenarios of a part that have a tag as a separate ctest case, which can run concurrently with the others.
function(agatespar_add_tagged_unittests part tag)
  add_test(NAME unit.${part}.${tag} COMMAND unittest_${part} "[${tag}]")
  set_tests_properties(unit.${part}.${tag} PROPERTIES LABELS unit)
endfunction()
