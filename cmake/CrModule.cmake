# Declares external packages as interface targets, and defines the functions that
# declare modules and programs together with their tests.

find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(Boost 1.81 REQUIRED)
find_package(fmt REQUIRED)
find_package(spdlog REQUIRED)
find_package(GTest REQUIRED)
find_package(benchmark QUIET)
pkg_check_modules(CR_JSONCPP REQUIRED IMPORTED_TARGET jsoncpp)
pkg_check_modules(CR_POPT REQUIRED IMPORTED_TARGET popt)
pkg_check_modules(CR_XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_library(CR_RAPIDCHECK rapidcheck REQUIRED)
find_path(CR_RAPIDCHECK_INCLUDE rapidcheck.h REQUIRED)
find_path(CR_EXPECTED_INCLUDE tl/expected.hpp REQUIRED)

function(cr_add_external NAME)
  add_library(cr_external_${NAME} INTERFACE)
  target_link_libraries(cr_external_${NAME} INTERFACE ${ARGN})
endfunction()

cr_add_external(json PkgConfig::CR_JSONCPP)
cr_add_external(fmt fmt::fmt)
# Header-only, so that spdlog is compiled with the sanitizers' options too.
cr_add_external(spdlog spdlog::spdlog_header_only)
cr_add_external(popt PkgConfig::CR_POPT)
cr_add_external(xxhash PkgConfig::CR_XXHASH)
cr_add_external(jsonrpc
  jsonrpccpp-client jsonrpccpp-server jsonrpccpp-common PkgConfig::CR_JSONCPP)
cr_add_external(boost Boost::headers Threads::Threads)
target_compile_definitions(cr_external_boost INTERFACE
  BOOST_ASIO_SEPARATE_COMPILATION BOOST_BEAST_SEPARATE_COMPILATION)
cr_add_external(expected)
target_include_directories(cr_external_expected SYSTEM INTERFACE
  "${CR_EXPECTED_INCLUDE}")
cr_add_external(rapidcheck "${CR_RAPIDCHECK}")
target_include_directories(cr_external_rapidcheck SYSTEM INTERFACE
  "${CR_RAPIDCHECK_INCLUDE}")
if(benchmark_FOUND)
  cr_add_external(benchmark benchmark::benchmark)
endif()

add_custom_target(all_tests)
add_custom_target(threaded_tests)
add_custom_target(fuzz_tests)

# Converts module names to target names: parser -> cr_parser.
function(cr_target_names RESULT)
  set(names ${ARGN})
  list(TRANSFORM names PREPEND cr_)
  set(${RESULT} ${names} PARENT_SCOPE)
endfunction()

# Returns the .cpp files under the current folder, except those in tests/.
function(cr_product_sources RESULT)
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS
    RELATIVE "${CMAKE_CURRENT_SOURCE_DIR}" "*.cpp")
  list(FILTER sources EXCLUDE REGEX "(^|/)tests/")
  set(${RESULT} ${sources} PARENT_SCOPE)
endfunction()

# cr_add_tests(TARGET [THREADED] [SOURCES file...] [LIBRARIES lib...])
# Adds one executable and one ctest test built from tests/*.cpp and SOURCES. With
# CR_FUZZ, adds one fuzz target for each file in tests/fuzz/.
function(cr_add_tests TARGET)
  cmake_parse_arguments(PARSE_ARGV 1 ARG "THREADED" "" "SOURCES;LIBRARIES")
  file(GLOB tests CONFIGURE_DEPENDS "tests/*.cpp")
  file(GLOB fuzzers CONFIGURE_DEPENDS "tests/fuzz/*.cpp")

  if(tests)
    add_executable(${TARGET} ${tests} ${ARG_SOURCES})
    target_include_directories(${TARGET} PRIVATE
      "${CMAKE_CURRENT_SOURCE_DIR}")
    target_link_libraries(${TARGET} PRIVATE
      ${ARG_LIBRARIES} GTest::gtest_main GTest::gmock cr_external_rapidcheck)
    # The macros of the test libraries expand to implicit conversions.
    set_source_files_properties(${tests} PROPERTIES COMPILE_OPTIONS
      "-Wno-conversion;-Wno-sign-conversion")
    add_test(NAME ${TARGET} COMMAND ${TARGET})
    set(labels unit)
    add_dependencies(all_tests ${TARGET})
    if(ARG_THREADED)
      list(APPEND labels threaded)
      add_dependencies(threaded_tests ${TARGET})
    endif()
    set_tests_properties(${TARGET} PROPERTIES
      TIMEOUT 300
      LABELS "${labels}"
      ENVIRONMENT "RC_PARAMS=seed=20261204")
  endif()

  if(CR_FUZZ)
    foreach(fuzzer IN LISTS fuzzers)
      cmake_path(GET fuzzer STEM stem)
      set(name ${TARGET}_fuzz_${stem})
      add_executable(${name} ${fuzzer} ${ARG_SOURCES})
      target_include_directories(${name} PRIVATE
        "${CMAKE_CURRENT_SOURCE_DIR}")
      target_link_libraries(${name} PRIVATE ${ARG_LIBRARIES})
      target_link_options(${name} PRIVATE -fsanitize=fuzzer)
      add_test(NAME ${name} COMMAND ${name} -seed=20261204 -max_total_time=30)
      set_tests_properties(${name} PROPERTIES TIMEOUT 300 LABELS fuzz)
      add_dependencies(fuzz_tests ${name})
    endforeach()
  elseif(fuzzers)
    # Excluded from the build; only gives clang-tidy the compile flags.
    add_library(${TARGET}_fuzz_sources OBJECT EXCLUDE_FROM_ALL ${fuzzers})
    target_include_directories(${TARGET}_fuzz_sources PRIVATE
      "${CMAKE_CURRENT_SOURCE_DIR}")
    target_link_libraries(${TARGET}_fuzz_sources PRIVATE ${ARG_LIBRARIES})
  endif()
endfunction()

# cr_add_module(NAME [THREADED] [STANDARD 14|20] [DEPENDS module...]
#   [LIBRARIES lib...] [TEST_DEPENDS module...])
function(cr_add_module NAME)
  cmake_parse_arguments(PARSE_ARGV 1 ARG
    "THREADED" "STANDARD" "DEPENDS;LIBRARIES;TEST_DEPENDS")
  if(ARG_UNPARSED_ARGUMENTS)
    message(FATAL_ERROR "cr_add_module: unknown ${ARG_UNPARSED_ARGUMENTS}")
  endif()
  if(NOT ARG_STANDARD)
    set(ARG_STANDARD 20)
  endif()
  cr_target_names(depends ${ARG_DEPENDS})
  cr_target_names(test_depends ${ARG_TEST_DEPENDS})
  cr_product_sources(sources)

  set(target cr_${NAME})
  if(sources)
    set(scope PUBLIC)
    add_library(${target} STATIC ${sources})
    set_target_properties(${target} PROPERTIES CXX_STANDARD ${ARG_STANDARD})
  else()
    set(scope INTERFACE)
    add_library(${target} INTERFACE)
  endif()
  # The parent folder is modules/, or stand_ins/ for a stand-in.
  cmake_path(GET CMAKE_CURRENT_SOURCE_DIR PARENT_PATH parent)
  target_include_directories(${target} ${scope}
    "${CMAKE_SOURCE_DIR}/modules" "${parent}")
  target_link_libraries(${target} ${scope} ${depends} ${ARG_LIBRARIES})

  set(threaded "")
  if(ARG_THREADED)
    set(threaded THREADED)
  endif()
  cr_add_tests(${target}_tests ${threaded}
    LIBRARIES ${target} ${test_depends})
endfunction()

# cr_add_program(NAME [THREADED] [DEPENDS module...] [LIBRARIES lib...]
#   [TEST_DEPENDS module...])
function(cr_add_program NAME)
  cmake_parse_arguments(PARSE_ARGV 1 ARG
    "THREADED" "" "DEPENDS;LIBRARIES;TEST_DEPENDS")
  if(ARG_UNPARSED_ARGUMENTS)
    message(FATAL_ERROR "cr_add_program: unknown ${ARG_UNPARSED_ARGUMENTS}")
  endif()
  cr_target_names(depends ${ARG_DEPENDS})
  cr_target_names(test_depends ${ARG_TEST_DEPENDS})
  file(GLOB sources CONFIGURE_DEPENDS
    RELATIVE "${CMAKE_CURRENT_SOURCE_DIR}" "*.cpp")

  add_executable(${NAME} ${sources})
  set_target_properties(${NAME} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
  target_include_directories(${NAME} PRIVATE "${CMAKE_SOURCE_DIR}/modules")
  target_link_libraries(${NAME} PRIVATE ${depends} ${ARG_LIBRARIES})

  list(REMOVE_ITEM sources main.cpp)
  set(threaded "")
  if(ARG_THREADED)
    set(threaded THREADED)
  endif()
  cr_add_tests(${NAME}_tests ${threaded}
    SOURCES ${sources}
    LIBRARIES ${depends} ${ARG_LIBRARIES} ${test_depends})
  if(TARGET ${NAME}_tests)
    # Tests may start the program as a process.
    add_dependencies(${NAME}_tests ${NAME})
  endif()
endfunction()
