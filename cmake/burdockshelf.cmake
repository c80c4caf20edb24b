# A library of the project: every .cpp file of src/<name> but main.cpp, found by other parts as "<name>/<file>.h".
function(burdockshelf_library name)
    cmake_parse_arguments(ARG "" "" "LIBRARIES" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
    target_link_libraries(${name} PUBLIC ${ARG_LIBRARIES})
endfunction()

# The test program of one library: every .cpp file of tests/<name>, with the properties' seed fixed.
function(burdockshelf_test name)
    cmake_parse_arguments(ARG "" "" "LIBRARIES;DEPENDS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name}_test ${sources})
    target_include_directories(${name}_test PRIVATE ${PROJECT_SOURCE_DIR}/tests)
    target_link_libraries(${name}_test PRIVATE ${ARG_LIBRARIES} PkgConfig::cpputest PkgConfig::glog rapidcheck)
    if(ARG_DEPENDS)
        add_dependencies(${name}_test ${ARG_DEPENDS})
    endif()
    add_test(NAME ${name} COMMAND ${name}_test)
    set_tests_properties(${name} PROPERTIES
        ENVIRONMENT "RC_PARAMS=seed=7;BURDOCKSHELF_BIN_DIR=${CMAKE_BINARY_DIR}/bin"
        TIMEOUT 300)
endfunction()
