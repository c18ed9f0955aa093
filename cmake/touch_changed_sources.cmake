# Makes the build tool see each source file whose content is not that of the
# last configuration, also if the file is older than the objects in the build
# folder: a folder that was carried over from another checkout is not up to date
# because its objects are newer.
function(touch_changed_sources)
  set(known_path ${CMAKE_BINARY_DIR}/source_digests.txt)
  set(known "")
  if(EXISTS ${known_path})
    file(STRINGS ${known_path} known)
  elseif(NOT EXISTS ${CMAKE_BINARY_DIR}/CMakeFiles/verbenastile_core.dir)
    set(is_new TRUE)
  endif()
  file(GLOB_RECURSE files RELATIVE ${CMAKE_SOURCE_DIR}
       ${CMAKE_SOURCE_DIR}/src/*.cc ${CMAKE_SOURCE_DIR}/src/*.h
       ${CMAKE_SOURCE_DIR}/src/*.c++ ${CMAKE_SOURCE_DIR}/platform/*.cc
       ${CMAKE_SOURCE_DIR}/platform/*.h ${CMAKE_SOURCE_DIR}/include/*.h)
  set(digests "")
  foreach(file ${files})
    file(SHA256 ${CMAKE_SOURCE_DIR}/${file} digest)
    list(APPEND digests "${digest} ${file}")
    if(NOT is_new AND NOT "${digest} ${file}" IN_LIST known)
      file(TOUCH ${CMAKE_SOURCE_DIR}/${file})
    endif()
  endforeach()
  list(JOIN digests "\n" text)
  file(WRITE ${known_path} "${text}\n")
endfunction()
