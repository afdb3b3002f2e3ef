# Shared target options and the two helpers every module uses:
#   mt_module(NAME SOURCES... DEPENDS...)  static library mt_NAME
#   mt_test(NAME SOURCES... DEPENDS...)    the module's one Criterion program
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(Boost 1.81 REQUIRED COMPONENTS json url)
find_package(absl REQUIRED)
pkg_check_modules(CRITERION REQUIRED IMPORTED_TARGET criterion)
find_library(LOG4CPLUS_LIBRARY log4cplus REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(PROMETHEUS_CORE prometheus-cpp-core REQUIRED)
find_library(URCU_MEMB urcu-memb REQUIRED)
find_library(URCU_COMMON urcu-common REQUIRED)

add_library(mt_options INTERFACE)
# -Wrestrict: g++ 12 reports its own operator+ of strings.
target_compile_options(mt_options INTERFACE -Wall -Wextra -Werror $<$<CXX_COMPILER_ID:GNU>:-Wno-restrict>)
target_include_directories(mt_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(mt_options INTERFACE Threads::Threads)
if(MT_SANITIZER)
    target_compile_options(mt_options INTERFACE -fsanitize=${MT_SANITIZER} -fno-omit-frame-pointer -fno-sanitize-recover=all)
    target_link_options(mt_options INTERFACE -fsanitize=${MT_SANITIZER})
    if(MT_SANITIZER MATCHES "thread")
        target_compile_options(mt_options INTERFACE -Wno-tsan)
        target_compile_definitions(mt_options INTERFACE MT_THREAD_SANITIZER)
    endif()
    # g++ 12 reports false positives of these from library headers under sanitizers.
    target_compile_options(mt_options INTERFACE -Wno-maybe-uninitialized -Wno-stringop-overflow -Wno-mismatched-new-delete)
endif()

# Test programs whose code runs on several threads; the sanitizer builds make only these.
add_custom_target(threaded_tests)

function(mt_threaded NAME)
    set_tests_properties(${NAME} PROPERTIES LABELS threaded)
    add_dependencies(threaded_tests ${NAME}_test)
endfunction()

function(mt_module NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_library(mt_${NAME} STATIC ${ARG_SOURCES})
    target_link_libraries(mt_${NAME} PUBLIC mt_options ${ARG_DEPENDS})
endfunction()

function(mt_program NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${NAME} ${ARG_SOURCES})
    target_link_libraries(${NAME} PRIVATE mt_options ${ARG_DEPENDS})
    set_target_properties(${NAME} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

function(mt_test NAME)
    cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
    add_executable(${NAME}_test ${ARG_SOURCES})
    target_link_libraries(${NAME}_test PRIVATE mt_options ${ARG_DEPENDS})
    if(MT_SANITIZER MATCHES "thread")
        target_sources(${NAME}_test PRIVATE ${CMAKE_SOURCE_DIR}/src/testing/single_process_runner.cpp)
    else()
        target_link_libraries(${NAME}_test PRIVATE PkgConfig::CRITERION)
    endif()
    add_test(NAME ${NAME} COMMAND ${NAME}_test)
    set_tests_properties(${NAME} PROPERTIES TIMEOUT 300)
endfunction()
