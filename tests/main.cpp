#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <iostream>

/// Runs every registered test, or only the test or suite that is named.
int main(int Argc, char **Argv) {
  CppUnit::TestResult Controller;
  CppUnit::TestResultCollector Results;
  CppUnit::BriefTestProgressListener Progress;
  Controller.addListener(&Results);
  Controller.addListener(&Progress);
  CppUnit::TestRunner Runner;
  Runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  Runner.run(Controller, Argc > 1 ? Argv[1] : "");
  CppUnit::CompilerOutputter(&Results, std::cerr).write();
  const int Failed = Results.testFailuresTotal();
  std::cout << Results.runTests() - Failed << " passed, " << Failed
            << " failed\n";
  return Failed == 0 && Results.runTests() > 0 ? 0 : 1;
}
