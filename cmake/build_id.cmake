# Writes OUTPUT, a source file that says which sources the build is of: the
# commit, if SOURCE_DIR is the top of a git checkout, and a digest of the files.
# Run with cmake -P at each build; needs SOURCE_DIR, OUTPUT and VERSION.
cmake_minimum_required(VERSION 3.20)
set(product src platform include charts)
set(files "")
foreach(folder ${product})
  file(GLOB_RECURSE found RELATIVE ${SOURCE_DIR} ${SOURCE_DIR}/${folder}/*.cc
       ${SOURCE_DIR}/${folder}/*.h ${SOURCE_DIR}/${folder}/*.c++
       ${SOURCE_DIR}/${folder}/*.yaml)
  list(APPEND files ${found})
endforeach()
list(SORT files)
set(digests "")
foreach(file ${files})
  file(SHA256 ${SOURCE_DIR}/${file} digest)
  string(APPEND digests "${file} ${digest}\n")
endforeach()
string(SHA256 sources "${digests}")
string(SUBSTRING ${sources} 0 12 sources)

set(commit "no commit known")
find_program(GIT git)
if(GIT)
  execute_process(COMMAND ${GIT} rev-parse --show-toplevel --short=12 HEAD
                  WORKING_DIRECTORY ${SOURCE_DIR} RESULT_VARIABLE failed
                  OUTPUT_VARIABLE head ERROR_QUIET
                  OUTPUT_STRIP_TRAILING_WHITESPACE)
  string(REPLACE "\n" ";" head "${head}")
  list(LENGTH head lines)
  if(NOT failed AND lines EQUAL 2)
    list(GET head 0 top)
    list(GET head 1 hash)
    file(REAL_PATH ${SOURCE_DIR} source_path)
    if(top STREQUAL source_path)
      set(commit "commit ${hash}")
      execute_process(COMMAND ${GIT} status --porcelain -- ${product}
                      WORKING_DIRECTORY ${SOURCE_DIR} OUTPUT_VARIABLE changes)
      if(NOT changes STREQUAL "")
        string(APPEND commit " with changes")
      endif()
    endif()
  endif()
endif()

file(CONFIGURE OUTPUT ${OUTPUT} @ONLY CONTENT
"#include \"base/build_id.h\"

namespace verbenastile {

std::string_view BuildId() {
  return \"@VERSION@ (@commit@, sources @sources@)\";
}

}  // namespace verbenastile
")
