# Functions that declare a package's library and tests.

# Adds the library jackdaw_NAME from all sources of the package except tests and main files.
function(jackdaw_library NAME)
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  list(FILTER SOURCES EXCLUDE REGEX "/tests/|/main\\.cc$|_main\\.cc$")
  add_library(jackdaw_${NAME} STATIC ${SOURCES})
  target_include_directories(jackdaw_${NAME} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
  target_link_libraries(jackdaw_${NAME} PUBLIC ${ARG_LINK})
endfunction()

# Adds the test program NAME_test from all files in tests/, as one CTest test.
function(jackdaw_tests NAME)
  if(NOT JACKDAWWIND_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "LINK" ${ARGN})
  file(GLOB_RECURSE SOURCES CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cc)
  add_executable(${NAME}_test ${SOURCES})
  target_link_libraries(${NAME}_test PRIVATE jackdaw_${NAME} GTest::gmock GTest::gtest_main ${ARG_LINK})
  target_compile_definitions(
    ${NAME}_test PRIVATE JACKDAW_GOLDEN_DIR="${CMAKE_CURRENT_SOURCE_DIR}/tests/golden")
  add_test(NAME ${NAME}_test COMMAND ${NAME}_test)
endfunction()
