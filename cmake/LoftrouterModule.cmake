# loftrouter_module(NAME FOLDERS folder... [DEPENDS target...] [LIBRARIES target...] [EXCLUDE source...])
#
# A static library of the sources in src/<folder>, not recursive, whose headers are those in include/loftrouter/<folder>.
# A module sees its own headers and those of what it DEPENDS on, directly or through others; nothing else is on its
# include path, so an include against the order of the layers does not build. To that end each module's headers are
# linked into a directory of its own below the build directory.
function(loftrouter_module name)
  cmake_parse_arguments(MODULE "" "" "FOLDERS;DEPENDS;LIBRARIES;EXCLUDE" ${ARGN})
  set(include_root "${CMAKE_BINARY_DIR}/modules/${name}")
  file(REMOVE_RECURSE "${include_root}")
  file(MAKE_DIRECTORY "${include_root}/loftrouter")
  set(sources)
  foreach(folder IN LISTS MODULE_FOLDERS)
    file(GLOB headers CONFIGURE_DEPENDS "${CMAKE_SOURCE_DIR}/include/loftrouter/${folder}/*.hpp")
    file(MAKE_DIRECTORY "${include_root}/loftrouter/${folder}")
    foreach(header IN LISTS headers)
      get_filename_component(file_name "${header}" NAME)
      file(CREATE_LINK "${header}" "${include_root}/loftrouter/${folder}/${file_name}" SYMBOLIC)
    endforeach()
    file(GLOB folder_sources CONFIGURE_DEPENDS "${CMAKE_SOURCE_DIR}/src/${folder}/*.cpp")
    list(APPEND sources ${folder_sources})
  endforeach()
  foreach(source IN LISTS MODULE_EXCLUDE)
    list(REMOVE_ITEM sources "${CMAKE_SOURCE_DIR}/${source}")
  endforeach()

  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC "${include_root}")
  target_compile_options(${name} PRIVATE -Wall -Wextra)
  target_link_libraries(${name} PUBLIC ${MODULE_DEPENDS} ${MODULE_LIBRARIES})
  # In the library alone: in tests, which are mostly JSON headers, it doubles the time to compile.
  if(LOFTROUTER_UBSAN)
    target_compile_options(${name} PRIVATE -fsanitize=undefined)
    target_link_options(${name} PUBLIC -fsanitize=undefined)
  endif()
  # The lowest module makes the precompiled header that all those above it use; one beside it has other definitions.
  if(name STREQUAL "loftrouter_model")
    target_precompile_headers(${name} PRIVATE
      <nlohmann/json.hpp> <fmt/format.h> <functional> <map> <string> <vector>)
  elseif(MODULE_DEPENDS)
    target_precompile_headers(${name} REUSE_FROM loftrouter_model)
  endif()
endfunction()
