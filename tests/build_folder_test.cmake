# Guards against a build folder, carried over from another checkout, whose
# objects are taken for up to date because they are newer than the sources
# (issue 60). Run with -P; needs REPOSITORY and FOLDER, which is replaced.
cmake_minimum_required(VERSION 3.20)
include(${REPOSITORY}/cmake/touch_changed_sources.cmake)
set(CMAKE_SOURCE_DIR ${FOLDER})
set(CMAKE_BINARY_DIR ${FOLDER}/build)
set(source ${FOLDER}/src/core/unit.cc)

function(write_old_source text)
  file(WRITE ${source} "${text}")
  execute_process(COMMAND touch -d 2020-01-01T12:00:00 ${source}
                  COMMAND_ERROR_IS_FATAL ANY)
endfunction()

function(expect_touched what expected)
  touch_changed_sources()
  file(TIMESTAMP ${source} year "%Y")
  if(year STREQUAL "2020")
    set(touched FALSE)
  else()
    set(touched TRUE)
  endif()
  if(NOT touched STREQUAL expected)
    message(FATAL_ERROR "${what}: touched is ${touched}, not ${expected}")
  endif()
endfunction()

file(REMOVE_RECURSE ${FOLDER})
write_old_source("int one;")
expect_touched("a new build folder" FALSE)
expect_touched("the same sources" FALSE)
write_old_source("int two;")
expect_touched("other sources, older than the objects" TRUE)
write_old_source("int two;")
expect_touched("the same sources again" FALSE)
file(REMOVE ${CMAKE_BINARY_DIR}/source_digests.txt)
file(MAKE_DIRECTORY ${CMAKE_BINARY_DIR}/CMakeFiles/verbenastile_core.dir)
expect_touched("a build folder without digests" TRUE)
