# Writes `output`, a source file that holds each charts/*.yaml as a string.
function(embed_charts output)
  file(GLOB charts CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/charts/*.yaml)
  set(entries "")
  foreach(chart ${charts})
    set_property(DIRECTORY APPEND PROPERTY CMAKE_CONFIGURE_DEPENDS ${chart})
    get_filename_component(name ${chart} NAME_WE)
    file(READ ${chart} text)
    string(APPEND entries
           "    {\"${name}\", R\"chart(${text})chart\"},\n")
  endforeach()
  file(CONFIGURE OUTPUT ${output} @ONLY CONTENT
"#include \"core/embedded_charts.h\"

namespace verbenastile {
namespace {
constexpr EmbeddedChart kCharts[] = {
@entries@};
}  // namespace

std::span<const EmbeddedChart> EmbeddedCharts() {
  return kCharts;
}
}  // namespace verbenastile
")
endfunction()
